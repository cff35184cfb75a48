package discovery

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"tackhub.example/tackhub/internal/counters"
)

// When discovery recovers, it does not answer the calls that were in flight. Nodes that waited for such a call to time out kept an
// outdated list and sent requests to draining servers for 0.6 s after the end of the drain grace.
func TestHedgedPollDoesNotWaitForLostCalls(t *testing.T) {
	for _, tc := range deployments {
		t.Run(fmt.Sprintf("%d nodes, %v", tc.nodes, tc.grace), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, d := newFleet(t), newFakeDiscovery(3)
				defer f.close()
				f.serve("one", d)
				d.update(func() { d.unresponsive = true })
				client := New(Options{Address: "one", Nodes: tc.nodes, DrainGrace: tc.grace, MaxPollInterval: 200 * time.Millisecond, Dial: f.dial,
					Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Count: &counters.Counters{}}, List{})
				f.clients = append(f.clients, client)
				go client.Run(f.ctx, List{}, ignoreUpdates{})
				for d.callCount() < 2 { // the first two calls get no response
					time.Sleep(time.Millisecond)
				}
				d.update(func() { d.unresponsive = false })
				if took := f.waitForRevision(1); took > tc.grace {
					t.Errorf("the list arrived %v after discovery recovered, want at most %v", took, tc.grace)
				}
			})
		})
	}
}
