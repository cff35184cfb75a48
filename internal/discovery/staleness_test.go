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

// recordKinds records the kinds of updates that a handler gets.
type recordKinds struct {
	mu    sync.Mutex
	kinds []balancer.UpdateKind
}

func (r *recordKinds) UpdateEndpoints(l balancer.EndpointUpdate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kinds = append(r.kinds, l.Kind)
}

// Without a report of staleness the balancer goes on by a list that may have changed long ago. Without an update once discovery
// is back, though nothing has changed, it would keep taking the list for stale.
func TestStalenessIsReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, d := newFleet(t), newFakeDiscovery(3)
		defer f.close()
		f.serve("one", d)
		d.update(func() { d.rejecting = true })
		var got recordKinds
		count := &counters.Counters{}
		client := New(Options{Address: "one", Nodes: manyNodes, MaxPollInterval: 10 * time.Second, DrainGrace: grace, Dial: f.dial,
			Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Count: count}, d.list())
		f.clients = append(f.clients, client)
		go client.Run(f.ctx, d.list(), &got)
		time.Sleep(informDeadline)
		if count.ServerList.Late.Get() != 0 {
			t.Error("the list is called stale before its time")
		}
		time.Sleep(2 * informDeadline)
		if n := count.ServerList.Late.Get(); n != 1 {
			t.Errorf("reported stale %d times in one outage, want once", n)
		}
		d.update(func() { d.rejecting = false })
		time.Sleep(informDeadline + 5*time.Second) // the resumed watch is held, for want of changes
		got.mu.Lock()
		defer got.mu.Unlock()
		if last := got.kinds[len(got.kinds)-1]; last != balancer.DeltaUpdate {
			t.Errorf("the last update is %v, want a delta", last)
		}
		if count.ServerList.Informed.Get() == 0 {
			t.Error("the time of the last answer is not counted")
		}
	})
}

// Staleness was once reported with the next call that failed, up to seconds late, while requests went to servers that drain.
// It is reported in time now, whatever the calls meet and however long each of them takes.
func TestStalenessIsReportedInTime(t *testing.T) {
	for name, begin := range map[string]func(*fakeDiscovery){
		"rejected":  func(d *fakeDiscovery) { d.update(func() { d.rejecting, d.retryAfter = true, "3600" }) },
		"silent":    func(d *fakeDiscovery) { d.update(func() { d.silent = true }) },
		"truncated": func(d *fakeDiscovery) { d.update(func() { d.truncating = true }) },
	} {
		for _, subscribe := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, on demand %v", name, subscribe), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f, d := newFleet(t), newFakeDiscovery(3)
					defer f.close()
					f.serve("one", d)
					for range manyNodes {
						client := New(Options{Address: "one", Nodes: manyNodes, WatchOnRequest: subscribe, DrainGrace: grace, Dial: f.dial,
							Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Count: &counters.Counters{}}, d.list())
						f.clients = append(f.clients, client)
						go client.Run(f.ctx, d.list(), &onDemandBalancer{client})
					}
					time.Sleep(11 * time.Second)
					begin(d)
					d.drainServer()
					time.Sleep(informDeadline + 100*time.Millisecond)
					for _, client := range f.clients {
						if client.count.ServerList.Late.Get() != 1 && client.List().Revision != 2 {
							t.Fatalf("a change was missed, and staleness has not been reported")
						}
					}
				})
			})
		}
	}
}
