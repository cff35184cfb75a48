// Package filewatch reads a file whenever it has changed, and only when it stands still: a file that grows or changes while
// it is read is not taken. What it decides is in this file, which does no I/O; the rest is I/O around it.
package filewatch

import "time"

// Look is what the file system tells of a file.
type FileState struct {
	Exists  bool
	Size    int64
	ModTime time.Time
	Inode   uint64
}

// Same tells whether two looks are of one state of one file.
func (l FileState) Equal(o FileState) bool {
	return l.Exists == o.Exists && l.Size == o.Size && l.ModTime.Equal(o.ModTime) && l.Inode == o.Inode
}

// Verdict is what to do about a look.
type Action int

// The verdicts.
const (
	Unchanged     Action = iota // it is as it was read last
	WaitForSettle               // it may still be written
	ReadNow
	Missing // it is not there
)

// Tracker follows one file.
type Tracker struct {
	// Settle is how long a file must not have changed before it is read, unless AtOnce.
	Settle time.Duration
	// AtOnce says that what is read tells by itself whether it is whole (a trailer, a checksum): then a file that was put
	// in place by a rename need not settle.
	SelfVerifying bool

	taken FileState
	seen  FileState
	since time.Time
	any   bool // something was taken
}

// See judges a look; with Wait it tells when to look again.
func (t *Tracker) Observe(now time.Time, l FileState) (Action, time.Time) {
	if !l.Exists {
		t.seen = l
		return Missing, time.Time{}
	}
	if t.any && l.Equal(t.taken) {
		t.seen = l
		return Unchanged, time.Time{}
	}
	if !l.Equal(t.seen) {
		t.seen, t.since = l, now
	}
	if t.SelfVerifying && t.any && l.Inode != t.taken.Inode {
		return ReadNow, time.Time{}
	}
	// A file that was last written long ago has settled already: so at a start, and after a rename of an old one. One
	// from the future (a clock that was set back) is judged by how long it was seen unchanged; and so is one that changes
	// in place, since a file that is being truncated can show its new size beside its old time.
	quiet := t.since
	if inPlace := t.any && l.Inode == t.taken.Inode; l.ModTime.Before(quiet) && !inPlace {
		quiet = l.ModTime
	}
	if due := quiet.Add(t.Settle); now.Before(due) {
		return WaitForSettle, due
	}
	return ReadNow, time.Time{}
}

// Taken notes that a look's state was read whole, whatever its content was worth.
func (t *Tracker) MarkRead(l FileState) { t.taken, t.any = l, true }

// Anew makes the file be read again although it has not changed: what stands beside it has.
func (t *Tracker) Invalidate() { t.any = false }
