package ingress

import (
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"tackhub.example/tackhub/internal/counters"
	"tackhub.example/tackhub/internal/drain"
)

// A shutdown closes its listener. What the kernel still holds for it would be reset with it, though its client may have sent a request: a
// connection in the accept queue, also where an accept that woke late found none, and a silent one that the kernel holds back. Past the last
// response the queue alone counts, and MaxPause later nothing does.
func TestListenerStaysOpenForWhatTheKernelHolds(t *testing.T) {
	plan := drain.NewPlan(time.Second)
	for name, c := range map[string]struct {
		queued, heldBack bool
		at               time.Duration // of the plan
		closes           bool
	}{
		"nothing held":                       {false, false, plan.CloseListener, true},
		"nothing held, too early":            {false, false, plan.CloseListener / 2, false},
		"queued":                             {true, false, plan.CloseListener, false},
		"held back":                          {false, true, plan.CloseListener, false},
		"queued at the last response":        {true, false, plan.LastResponse, false},
		"held back at the last response":     {false, true, plan.LastResponse, true},
		"queued, a pause after the response": {true, false, plan.LastResponse + drain.MaxPause, true},
	} {
		t.Run(name, func(t *testing.T) {
			config := net.ListenConfig{Control: DeferAccept} // as the node's
			l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			listener := l.(*net.TCPListener)
			if c.queued || c.heldBack {
				conn, err := net.Dial("tcp", l.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = conn.Close() }()
				if c.queued {
					waitQueued(t, conn, listener)
				}
			}
			s := New(Options{Handler: gatedHandler{}, MaxConns: 100, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Counters: &counters.Counters{}})
			s.schedule.Store(plan.Start(time.Now().Add(-c.at)))
			if got := s.stopsAccepting(listener, true); got != c.closes {
				t.Errorf("the listener closes: %v, want %v", got, c.closes)
			}
		})
	}
}

// waitQueued sends a byte on a connection and waits until it is in the listener's queue.
func waitQueued(t *testing.T, conn net.Conn, l *net.TCPListener) {
	t.Helper()
	if _, err := conn.Write([]byte("G")); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(10 * time.Second); !hasQueued(l); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the connection does not get into the queue")
		}
	}
}
