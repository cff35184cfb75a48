// Package filewatch reads a file each time it has changed, but only once it has settled: a file that is still being written is
// not read, and data that changed during a read is not used. Tracker makes the decisions without I/O; Run does the I/O.
package filewatch

import "time"

// FileState identifies the content of a file by its metadata. The zero value represents a file that does not exist.
type FileState struct {
	Exists  bool
	Size    int64 // bytes
	ModTime time.Time
	Inode   uint64
}

// Equal reports whether two states belong to the same file with the same content.
func (s FileState) Equal(other FileState) bool {
	return s.Exists == other.Exists && s.Size == other.Size && s.ModTime.Equal(other.ModTime) && s.Inode == other.Inode
}

// Action is what the caller must do after Tracker.Observe.
type Action int

// Actions that Tracker.Observe returns.
const (
	Unchanged     Action = iota // do nothing: the file is as it was last read
	WaitForSettle               // observe again later: the file may still be being written
	ReadNow                     // read the file
	Missing                     // report that the file does not exist
)

// String returns the name of the action.
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

const (
	// standstillDivisor is the fraction of Settle by which an observation has to be late to show that the process stood still.
	standstillDivisor = 4

	// maxRestarts is how many times the settle time of one state starts again after a standstill. Without a limit a process that is
	// always late would never read the file.
	maxRestarts = 3
)

// Tracker decides when to read a file. The zero value reads a file as soon as it changes.
type Tracker struct {
	// Settle is how long a file must have been unchanged before it is read.
	Settle time.Duration

	// SelfVerifying means that the content itself shows whether it is complete, for example by a trailer or a checksum. A file that
	// was replaced by a rename is then read at once.
	SelfVerifying bool

	// ObserveInterval is the longest time between two calls of Observe while the file has to settle. Time without observations does not
	// count as settled: whatever held up the process may have held up the writer of the file too.
	ObserveInterval time.Duration

	lastRead      FileState
	hasRead       bool // lastRead is set and has not been invalidated
	lastSeen      FileState
	lastSeenSince time.Time // when lastSeen was first observed
	nextObserve   time.Time // when Observe has to be called at the latest; zero: the file does not have to settle
	resumedAt     time.Time // when an observation was last late
	restarts      int       // number of late observations of lastSeen
}

// Observe decides what to do about a file in this state. For WaitForSettle it also returns when to observe the file again.
func (t *Tracker) Observe(now time.Time, state FileState) (Action, time.Time) {
	isLate := !t.nextObserve.IsZero() && now.After(t.nextObserve.Add(t.Settle/standstillDivisor))
	t.nextObserve = time.Time{}
	if !state.Exists {
		t.lastSeen = state
		return Missing, time.Time{}
	}
	if t.hasRead && state.Equal(t.lastRead) {
		t.lastSeen = state
		return Unchanged, time.Time{}
	}
	if !state.Equal(t.lastSeen) {
		t.lastSeen = state
		t.lastSeenSince = now
		t.restarts = 0
	} else if isLate && t.restarts < maxRestarts {
		t.resumedAt = now
		t.restarts++
	}
	replaced := t.hasRead && state.Inode != t.lastRead.Inode
	if replaced && t.SelfVerifying {
		return ReadNow, time.Time{}
	}
	settledAt := t.unchangedSince(state).Add(t.Settle)
	if now.Before(settledAt) {
		t.nextObserve = settledAt
		if latest := now.Add(t.ObserveInterval); t.ObserveInterval > 0 && latest.Before(settledAt) {
			t.nextObserve = latest
		}
		return WaitForSettle, settledAt
	}
	return ReadNow, time.Time{}
}

// unchangedSince returns the time since which a file in this state is known to be unchanged. That is its modification time, so that
// a file found at startup or an old file that is renamed into place does not need to settle again. However, it returns the
// time when the state was first observed
//   - if the modification time is later, because the clock was set back;
//   - if the file was changed in place, because a file that is being truncated may have its new size but its old modification time.
//
// After a standstill it returns its end.
func (t *Tracker) unchangedSince(state FileState) time.Time {
	if t.restarts > 0 {
		return t.resumedAt
	}
	changedInPlace := t.hasRead && state.Inode == t.lastRead.Inode
	if !changedInPlace && state.ModTime.Before(t.lastSeenSince) {
		return state.ModTime
	}
	return t.lastSeenSince
}

// MarkRead records that the file was read in this state, whether or not its content could be used.
func (t *Tracker) MarkRead(state FileState) {
	t.lastRead = state
	t.hasRead = true
}

// Invalidate causes the file to be read again although it has not changed, because a companion file has changed.
func (t *Tracker) Invalidate() { t.hasRead = false }
