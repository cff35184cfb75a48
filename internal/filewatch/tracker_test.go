package filewatch

import (
	"testing"
	"time"
)

func TestTracker(t *testing.T) {
	t0 := time.Unix(1000, 0)
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	file := func(inode uint64, size int64, mod int) FileState {
		return FileState{Exists: true, Size: size, ModTime: at(mod), Inode: inode}
	}
	for _, c := range []struct {
		name          string
		selfVerifying bool
		states        []FileState
		times         []int
		want          []Action // after ReadNow it is marked as read
	}{
		{"old at the start", false, []FileState{file(1, 5, -900)}, []int{0}, []Action{ReadNow}},
		{"read once", false, []FileState{file(1, 5, -900), file(1, 5, -900)}, []int{0, 50}, []Action{ReadNow, Unchanged}},
		{"grows, then settles", false, []FileState{file(1, 5, -900), file(1, 7, 10), file(1, 9, 60), file(1, 9, 60), file(1, 9, 60)},
			[]int{0, 11, 61, 120, 161}, []Action{ReadNow, WaitForSettle, WaitForSettle, WaitForSettle, ReadNow}},
		{"renamed, old inside", false, []FileState{file(1, 5, -900), file(2, 5, -200)}, []int{0, 10}, []Action{ReadNow, ReadNow}},
		{"renamed, fresh", false, []FileState{file(1, 5, -900), file(2, 5, 9), file(2, 5, 9)}, []int{0, 10, 109}, []Action{ReadNow, WaitForSettle, ReadNow}},
		{"renamed, fresh, self-verifying", true, []FileState{file(1, 5, -900), file(2, 5, 9)}, []int{0, 10}, []Action{ReadNow, ReadNow}},
		{"written in place, self-verifying", true, []FileState{file(1, 5, -900), file(1, 6, 9)}, []int{0, 10}, []Action{ReadNow, WaitForSettle}},
		{"truncated, with its old time still", false, []FileState{file(1, 5, -900), file(1, 0, -900), file(1, 0, 3), file(1, 7, 4), file(1, 7, 4)},
			[]int{0, 1, 3, 5, 105}, []Action{ReadNow, WaitForSettle, WaitForSettle, WaitForSettle, ReadNow}},
		{"gone and back as it was", false, []FileState{file(1, 5, -900), {}, file(1, 5, -900)}, []int{0, 10, 20}, []Action{ReadNow, Missing, Unchanged}},
		{"a clock set back", false, []FileState{file(1, 5, 9_000_000), file(1, 5, 9_000_000)}, []int{0, 100}, []Action{WaitForSettle, ReadNow}},
	} {
		tr := Tracker{Settle: 100 * time.Millisecond, SelfVerifying: c.selfVerifying}
		for i, l := range c.states {
			got, due := tr.Observe(at(c.times[i]), l)
			if got != c.want[i] || (got == WaitForSettle) != due.After(at(c.times[i])) {
				t.Errorf("%s, look %d: %v until %v, want %v", c.name, i, got, due, c.want[i])
			}
			if got == ReadNow {
				tr.MarkRead(l)
			}
		}
	}
}
