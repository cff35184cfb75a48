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

// Closing the listener resets the connections in its accept queue and those that the kernel still defers (TCP_DEFER_ACCEPT),
// although their clients may have sent a request. The listener must stay open for both kinds, even if the last accept timed out.
// From LastResponse on, only queued connections delay the close; after another MaxPause, it closes in any case.
func TestListenerStaysOpenForQueuedAndDeferredConnections(t *testing.T) {
	plan := drain.NewPlan(time.Second)
	for name, test := range map[string]struct {
		queued, deferred bool
		elapsed          time.Duration // since the shutdown began
		wantClose        bool
	}{
		"no connection":                            {false, false, plan.CloseListener, true},
		"no connection, too early":                 {false, false, plan.CloseListener / 2, false},
		"queued":                                   {true, false, plan.CloseListener, false},
		"deferred":                                 {false, true, plan.CloseListener, false},
		"queued at the last response":              {true, false, plan.LastResponse, false},
		"deferred at the last response":            {false, true, plan.LastResponse, true},
		"queued, MaxPause after the last response": {true, false, plan.LastResponse + drain.MaxPause, true},
	} {
		t.Run(name, func(t *testing.T) {
			config := net.ListenConfig{Control: DeferAccept} // as for the node's listener
			l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			listener := l.(*net.TCPListener)
			if test.queued || test.deferred {
				conn, err := net.Dial("tcp", l.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = conn.Close() }()
				if test.queued {
					waitQueued(t, conn, listener)
				}
			}
			s := New(Options{Handler: gatedHandler{}, MaxConns: 100, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Counters: &counters.Counters{}})
			s.schedule.Store(plan.Start(time.Now().Add(-test.elapsed)))
			if got := s.stopsAccepting(listener, true); got != test.wantClose {
				t.Errorf("stopsAccepting = %v, want %v", got, test.wantClose)
			}
		})
	}
}

// waitQueued sends a byte on a connection and waits up to 10 s until the connection is in the listener's accept queue.
func waitQueued(t *testing.T, conn net.Conn, l *net.TCPListener) {
	t.Helper()
	if _, err := conn.Write([]byte("G")); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(10 * time.Second); !hasQueued(l); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the accept queue is still empty after 10 s, want one connection")
		}
	}
}
