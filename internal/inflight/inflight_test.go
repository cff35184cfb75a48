package inflight

import (
	"testing"
	"time"
)

// closed reports whether a channel is closed.
func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func TestEmptyOnlyAfterTheLastEnd(t *testing.T) {
	var tracker Tracker
	if !closed(tracker.Empty()) {
		t.Error("a tracker without requests is not empty")
	}
	one := tracker.Begin("1", "look")
	two := tracker.Begin("2", "bill")
	empty := tracker.Empty()
	one.End(Answered)
	one.End(Answered)
	if tracker.Open() != 1 || closed(empty) {
		t.Errorf("%d open after one of two ended, empty %v", tracker.Open(), closed(empty))
	}
	two.End(Unanswered)
	if !closed(empty) || !closed(tracker.Empty()) {
		t.Error("not empty after both ended")
	}
}

func TestShutdownStats(t *testing.T) {
	var tracker Tracker
	before := tracker.Begin("1", "look")
	if _, ok := tracker.ShutdownStats(); ok {
		t.Error("figures of a shutdown that has not begun")
	}
	tracker.BeginShutdown(time.Now().Add(-time.Second))
	tracker.BeginShutdown(time.Now()) // a second signal begins nothing
	after := tracker.Begin("2", "look")
	before.End(Answered)
	after.End(Rejected)
	got, ok := tracker.ShutdownStats()
	if !ok || got.OpenAtStart != 1 || got.ReceivedSince != 1 || got.Outcomes != [4]int{1, 1, 0, 0} || got.LastAnswer < time.Second {
		t.Errorf("%+v, %v", got, ok)
	}
}
