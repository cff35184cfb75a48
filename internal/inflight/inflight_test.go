package inflight

import (
	"testing"
	"time"
)

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func TestAccountIsEmptyOnlyAfterTheLastEnd(t *testing.T) {
	var a Tracker
	if !closed(a.Empty()) {
		t.Error("an account with nothing in it is not empty")
	}
	one, two := a.Begin("1", "look"), a.Begin("2", "bill")
	empty := a.Empty()
	one.End(Answered)
	one.End(Answered)
	if a.Open() != 1 || closed(empty) {
		t.Errorf("%d open after one of two ended, empty %v", a.Open(), closed(empty))
	}
	two.End(Unanswered)
	if !closed(empty) || !closed(a.Empty()) {
		t.Error("not empty after both ended")
	}
}

func TestStopFigures(t *testing.T) {
	var a Tracker
	before := a.Begin("1", "look")
	if _, ok := a.ShutdownStats(); ok {
		t.Error("figures of a stop that has not begun")
	}
	a.BeginShutdown(time.Now().Add(-time.Second))
	a.BeginShutdown(time.Now()) // a second signal begins nothing
	after := a.Begin("2", "look")
	before.End(Answered)
	after.End(Rejected)
	got, ok := a.ShutdownStats()
	if !ok || got.OpenAtStart != 1 || got.ReceivedSince != 1 || got.Outcomes != [4]int{1, 1, 0, 0} || got.LastAnswer < time.Second {
		t.Errorf("%+v, %v", got, ok)
	}
}
