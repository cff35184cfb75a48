package discovery

import (
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/counters"
)

// kindRecorder records the kinds of the updates that a handler receives.
type kindRecorder struct {
	mu    sync.Mutex
	kinds []balancer.UpdateKind
}

func (r *kindRecorder) UpdateEndpoints(update balancer.EndpointUpdate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kinds = append(r.kinds, update.Kind)
}

// Without a staleness report, the balancer would continue to use a list that may have changed long ago. When discovery responds
// again, the handler must receive an update even if nothing has changed; otherwise the balancer would continue to treat the list
// as stale.
func TestStalenessReportedOncePerOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, d := newFleet(t), newFakeDiscovery(3)
		defer f.close()
		f.serve("one", d)
		d.update(func() { d.rejecting = true })
		var recorder kindRecorder
		count := &counters.Counters{}
		client := New(Options{Address: "one", Nodes: largeFleetNodes, MaxPollInterval: 10 * time.Second, DrainGrace: drainGrace, Dial: f.dial,
			Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Count: count}, d.list())
		f.clients = append(f.clients, client)
		go client.Run(f.ctx, d.list(), &recorder)
		time.Sleep(notifyDeadline)
		if count.ServerList.Stale.Get() != 0 {
			t.Error("list reported as stale before notifyDeadline")
		}
		time.Sleep(2 * notifyDeadline)
		if n := count.ServerList.Stale.Get(); n != 1 {
			t.Errorf("staleness reports in one outage = %d, want 1", n)
		}
		d.update(func() { d.rejecting = false })
		time.Sleep(notifyDeadline + 5*time.Second) // the resumed watch is held, since nothing changes
		recorder.mu.Lock()
		defer recorder.mu.Unlock()
		if last := recorder.kinds[len(recorder.kinds)-1]; last != balancer.DeltaUpdate {
			t.Errorf("last update = %v, want %v", last, balancer.DeltaUpdate)
		}
		if count.ServerList.LastResponse.Get() == 0 {
			t.Error("time of the last response is not recorded")
		}
	})
}

// Staleness was once reported only with the next failed call, up to seconds late, while requests went to servers that were
// draining. It must be reported in time, however the calls fail and however long each of them takes.
func TestStalenessReportedWithinDeadline(t *testing.T) {
	for name, begin := range map[string]func(*fakeDiscovery){
		"rejected":  func(d *fakeDiscovery) { d.update(func() { d.rejecting, d.retryAfter = true, "3600" }) },
		"silent":    func(d *fakeDiscovery) { d.update(func() { d.unresponsive = true }) },
		"truncated": func(d *fakeDiscovery) { d.update(func() { d.truncating = true }) },
	} {
		for _, watchOnRequest := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, watch on request %v", name, watchOnRequest), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f, d := newFleet(t), newFakeDiscovery(3)
					defer f.close()
					f.serve("one", d)
					for range largeFleetNodes {
						client := New(Options{Address: "one", Nodes: largeFleetNodes, WatchOnRequest: watchOnRequest, DrainGrace: drainGrace, Dial: f.dial,
							Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Count: &counters.Counters{}}, d.list())
						f.clients = append(f.clients, client)
						go client.Run(f.ctx, d.list(), &watchRequester{client})
					}
					time.Sleep(11 * time.Second)
					begin(d)
					d.drainServer()
					time.Sleep(notifyDeadline + 100*time.Millisecond)
					for _, client := range f.clients {
						if client.count.ServerList.Stale.Get() != 1 && client.List().Revision != 2 {
							t.Fatalf("client missed a change without reporting staleness")
						}
					}
				})
			})
		}
	}
}
