// Package filewatch reads a file whenever it has changed, and only once it has settled: a file that is still being written
// is not read, and what changed during a read is not used. Tracker decides and does no I/O; Run does the I/O around it.
package filewatch

import "time"

// FileState is what the file system tells of a file. The zero value is a file that does not exist.
type FileState struct {
	Exists  bool
	Size    int64 // bytes
	ModTime time.Time
	Inode   uint64
}

// Equal reports whether two states are of one file with one content.
func (s FileState) Equal(other FileState) bool {
	return s.Exists == other.Exists && s.Size == other.Size && s.ModTime.Equal(other.ModTime) && s.Inode == other.Inode
}

// Action is what to do after a look at a file.
type Action int

// The actions.
const (
	Unchanged     Action = iota // nothing: it is as it was read last
	WaitForSettle               // look again later: it may still be written
	ReadNow                     // read it
	Missing                     // report that it does not exist
)

// String is the action's name.
func (a Action) String() string {
	switch a {
	case Unchanged:
		return "unchanged"
	case WaitForSettle:
		return "wait for settle"
	case ReadNow:
		return "read now"
	case Missing:
		return "missing"
	default:
		return "unknown"
	}
}

// Tracker decides when a file is to be read. Its zero value reads a file as soon as it changes.
type Tracker struct {
	// Settle is how long a file must not have changed before it is read.
	Settle time.Duration

	// SelfVerifying says that the content shows whether it is complete, by a trailer or a checksum. A file that was put in
	// place by a rename is then read at once.
	SelfVerifying bool

	lastRead FileState
	hasRead  bool // lastRead is set and holds
	lastSeen FileState
	since    time.Time // when lastSeen was seen first
}

// Observe decides what to do about a file in this state. With WaitForSettle it also returns when to look again.
func (t *Tracker) Observe(now time.Time, s FileState) (Action, time.Time) {
	if !s.Exists {
		t.lastSeen = s
		return Missing, time.Time{}
	}
	if t.hasRead && s.Equal(t.lastRead) {
		t.lastSeen = s
		return Unchanged, time.Time{}
	}
	if !s.Equal(t.lastSeen) {
		t.lastSeen = s
		t.since = now
	}
	replaced := t.hasRead && s.Inode != t.lastRead.Inode
	if replaced && t.SelfVerifying {
		return ReadNow, time.Time{}
	}
	settled := t.unchangedSince(s).Add(t.Settle)
	if now.Before(settled) {
		return WaitForSettle, settled
	}
	return ReadNow, time.Time{}
}

// unchangedSince is how long ago a file in this state was last written, as far as is known. At a start, or when an old file
// is renamed into place, that is its time of modification, and it need not settle again. That time is not used
//   - if it is in the future, since the clock was set back;
//   - if the file was changed in place, since one that is being truncated may have its new size but its old time.
//
// It is then when the state was seen first.
func (t *Tracker) unchangedSince(s FileState) time.Time {
	changedInPlace := t.hasRead && s.Inode == t.lastRead.Inode
	if !changedInPlace && s.ModTime.Before(t.since) {
		return s.ModTime
	}
	return t.since
}

// MarkRead notes that the file was read in this state, whether or not its content could be used.
func (t *Tracker) MarkRead(s FileState) {
	t.lastRead = s
	t.hasRead = true
}

// Invalidate has the file read again although it has not changed, since a file that belongs to it has.
func (t *Tracker) Invalidate() { t.hasRead = false }
