package inflight

import (
	"testing"
	"time"
)

// isClosed reports whether a channel is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func TestEmptyClosesAfterLastRequestEnds(t *testing.T) {
	var tracker Tracker
	if !isClosed(tracker.Empty()) {
		t.Error("Empty is not closed for a tracker without requests")
	}
	first := tracker.Begin("1", "look")
	second := tracker.Begin("2", "bill")
	empty := tracker.Empty()
	first.End(Answered)
	first.End(Answered) // has no effect
	if tracker.Count() != 1 || isClosed(empty) {
		t.Errorf("after one of two requests ended: open = %d, empty = %v, want 1 and false", tracker.Count(), isClosed(empty))
	}
	second.End(Unanswered)
	if !isClosed(empty) || !isClosed(tracker.Empty()) {
		t.Error("Empty is not closed after both requests ended")
	}
}

func TestShutdownStats(t *testing.T) {
	var tracker Tracker
	before := tracker.Begin("1", "look")
	if _, ok := tracker.ShutdownStats(); ok {
		t.Error("ShutdownStats returned statistics before a shutdown began")
	}
	tracker.BeginShutdown(time.Now().Add(-time.Second))
	tracker.BeginShutdown(time.Now()) // a repeated signal has no effect
	after := tracker.Begin("2", "look")
	before.End(Answered)
	after.End(Rejected)
	got, ok := tracker.ShutdownStats()
	if !ok || got.OpenAtStart != 1 || got.ReceivedSince != 1 || got.Outcomes != [4]int{1, 1, 0, 0} || got.LastAnswer < time.Second {
		t.Errorf("stats = %+v, %v, want OpenAtStart 1, ReceivedSince 1, Outcomes [1 1 0 0] and LastAnswer at least 1 s, true", got, ok)
	}
}
