package memory

import (
	"testing"
	"time"

	"tackhub.example/tackhub/internal/counters"
)

func newTestAccount(limit int64) (*Account, *counters.Memory) {
	count := &counters.Memory{}
	return New(Options{Limit: limit, Counters: count}), count
}

// Uploads of slow clients must leave memory for connections, and the account must be empty when everything is released.
func TestUploadsLeaveMemoryForConnections(t *testing.T) {
	const limit = 10_000
	a, count := newTestAccount(limit)
	files := int64(0)
	for a.TryCharge(RequestFiles, 100) {
		files += 100
	}
	if want := int64(maxUploadFraction * limit); files != want {
		t.Errorf("files could be charged up to %d bytes, want %d", files, want)
	}
	if a.TryCharge(RequestBodies, 100) {
		t.Error("a body in memory could be charged beside as many files as may be, want it refused")
	}
	if !a.TryCharge(ClientConnections, 1000) {
		t.Error("a connection could not be charged beside as many files as may be")
	}
	a.Release(RequestFiles, files)
	a.Release(ClientConnections, 1000)
	if charged := count.Charged.Get(); charged != 0 {
		t.Errorf("charged after everything was released = %d, want 0", charged)
	}
}

// A charge waits for memory that is released in time, asks for it to be reclaimed, and fails after its timeout.
func TestWaitChargeWaitsForRelease(t *testing.T) {
	a, _ := newTestAccount(1000)
	a.Charge(RequestFiles, 600)
	reclaimed := make(chan struct{}, 1000)
	a.SetReclaim(func() { reclaimed <- struct{}{} })
	if a.WaitCharge(RequestFiles, 100, 100*time.Millisecond) {
		t.Error("WaitCharge = true without a release, want false")
	}
	if len(reclaimed) < 2 {
		t.Errorf("reclaim was called %d times while a charge waited, want it repeated", len(reclaimed))
	}
	go func() {
		time.Sleep(20 * time.Millisecond)
		a.Release(RequestFiles, 600)
	}()
	if !a.WaitCharge(RequestFiles, 100, 10*time.Second) {
		t.Error("WaitCharge = false although memory was released, want true")
	}
}
