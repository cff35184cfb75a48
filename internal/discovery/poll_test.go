package discovery

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"reflect"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/counters"
)

// deployment holds the options that determine the intervals.
type deployment struct {
	nodes int
	grace time.Duration
}

var deployments = []deployment{{3, 300 * time.Millisecond}, {300, 300 * time.Millisecond}, {300, 900 * time.Millisecond}}

// listenTCP returns a listener for a test that serves as discovery itself.
func listenTCP(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// longestRetryDelay is the longest delay after a failed call in a large fleet.
var longestRetryDelay = intervalsFor(Options{Nodes: largeFleetNodes, DrainGrace: drainGrace}).maxRetryDelay

// slowResponse is the longest duration of a call whose response arrives just before the timeout.
const slowResponse = callTimeoutManyNodes + promptResponse

// changeCases are the situations in which an endpoint list changes.
var changeCases = []struct {
	name     string
	maxDelay time.Duration // from the change, or from when discovery responds again
	run      func(f *fleet, d *fakeDiscovery)
}{
	{"change right after the start", drainGrace, func(f *fleet, d *fakeDiscovery) {
		f.startClients(largeFleetNodes, "one", d.list())
		d.drainServer()
	}},
	{"change while watches are held", promptResponse, func(f *fleet, d *fakeDiscovery) {
		f.startClients(largeFleetNodes, "one", d.list())
		time.Sleep(12 * time.Second)
		d.drainServer()
	}},
	{"clients restart together with an outdated list", drainGrace, func(f *fleet, d *fakeDiscovery) {
		old := d.list()
		d.drainServer()
		f.startClients(largeFleetNodes, "one", old)
	}},
	{"rejected without Retry-After", longestRetryDelay + promptResponse, func(f *fleet, d *fakeDiscovery) {
		f.startClients(largeFleetNodes, "one", d.list())
		d.update(func() { d.rejecting = true })
		time.Sleep(20 * time.Second)
		d.drainServer()
		d.update(func() { d.rejecting = false })
	}},
	{"rejected with Retry-After of one second", time.Second + longestRetryDelay + promptResponse, func(f *fleet, d *fakeDiscovery) {
		f.startClients(largeFleetNodes, "one", d.list())
		d.update(func() { d.rejecting, d.retryAfter = true, "1" })
		time.Sleep(20 * time.Second)
		d.drainServer()
		d.update(func() { d.rejecting = false })
	}},
	{"unresponsive while a watch is in flight", slowResponse + longestRetryDelay + slowResponse, func(f *fleet, d *fakeDiscovery) {
		f.startClients(largeFleetNodes, "one", d.list())
		time.Sleep(7 * time.Second)
		d.update(func() { d.unresponsive = true })
		d.drainServer()
		time.Sleep(10 * time.Second)
		d.update(func() { d.unresponsive = false })
	}},
	{"connections reset, then hang, then recover", drainGrace, func(f *fleet, d *fakeDiscovery) {
		f.startClients(largeFleetNodes, "one", d.list())
		time.Sleep(7 * time.Second)
		d.update(func() { d.hanging, d.resetting = true, true })
		d.drainServer() // ends the watches, whose connections are reset
		time.Sleep(10 * time.Second)
		d.update(func() { d.hanging, d.resetting = false, false })
	}},
	{"address changes while discovery is unresponsive", promptResponse, func(f *fleet, d *fakeDiscovery) {
		f.startClients(largeFleetNodes, "one", d.list())
		time.Sleep(7 * time.Second)
		d.update(func() { d.unresponsive = true })
		d.drainServer()
		two := newFakeDiscovery(0)
		two.revision, two.members = d.revision, d.members
		f.serve("two", two)
		for _, client := range f.clients {
			client.SetAddress("two")
		}
	}},
}

// The spread of first calls once depended only on the number of nodes: it was 30 s for 300 nodes, and draining servers got requests
// for that long. docs/discovery.md derives, for each situation, how long a change may take to reach every node; this test
// checks those times.
func TestLargeFleetReceivesChangeWithinBound(t *testing.T) {
	for _, tc := range changeCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, d := newFleet(t), newFakeDiscovery(40)
				defer f.close()
				f.serve("one", d)
				tc.run(f, d)
				if took := f.waitForRevision(2); took > tc.maxDelay {
					t.Errorf("last client received the change after %v, want at most %v", took, tc.maxDelay)
				}
			})
		})
	}
}

// Discovery can answer only a limited rate of calls. If calls arrive faster, its queue grows until nearly all calls are rejected
// and retried, and a restarting fleet never receives the list. The clients must therefore spread their calls.
func TestFleetRestartDoesNotOverloadSlowDiscovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes, servers, rate = 36, 24, 180.0
		f, d := newFleet(t), newFakeDiscovery(servers)
		defer f.close()
		d.entriesPerSecond = rate
		f.serve("one", d)
		outdated := d.list()
		d.drainServer()
		f.startClients(nodes, "one", outdated)
		minDuration := time.Duration(nodes * servers / rate * float64(time.Second)) // if no call is rejected
		if took := f.waitForRevision(2); took > 4*minDuration {
			t.Errorf("last of %d clients received the change after %v, want at most %v", nodes, took, 4*minDuration)
		}
	})
}

// The protocol considers a node notified of a change notifyDeadline after discovery has the change and can be reached, whatever
// happened to earlier calls. A node that receives it later sends requests to draining servers. Each failure in this test ends with
// a change, which every node must receive within notifyDeadline, whichever call or delay it was waiting for.
func TestChangeReceivedWithinDeadlineAfterAnyFailure(t *testing.T) {
	failures := map[string]struct {
		begin, end func(d *fakeDiscovery)
	}{
		"watches lost, other calls answered":    {begin: func(d *fakeDiscovery) { d.stallConns() }},
		"rejected with Retry-After of one hour": {begin: func(d *fakeDiscovery) { d.update(func() { d.rejecting, d.retryAfter = true, "3600" }) }, end: func(d *fakeDiscovery) { d.update(func() { d.rejecting = false }) }},
		"rejected without Retry-After":          {begin: func(d *fakeDiscovery) { d.update(func() { d.rejecting = true }) }, end: func(d *fakeDiscovery) { d.update(func() { d.rejecting = false }) }},
		"unresponsive, then recovered":          {begin: func(d *fakeDiscovery) { d.update(func() { d.unresponsive = true }) }, end: func(d *fakeDiscovery) { d.update(func() { d.unresponsive = false }) }},
		"truncated responses":                   {begin: func(d *fakeDiscovery) { d.update(func() { d.truncating = true }) }, end: func(d *fakeDiscovery) { d.update(func() { d.truncating = false }) }},
		"connections hang, watches lost":        {begin: func(d *fakeDiscovery) { d.stallConns(); d.update(func() { d.hanging = true }) }, end: func(d *fakeDiscovery) { d.update(func() { d.hanging = false }) }},
		"connections refused, watches lost":     {begin: func(d *fakeDiscovery) { d.stallConns(); d.update(func() { d.refusing = true }) }, end: func(d *fakeDiscovery) { d.update(func() { d.refusing = false }) }},
	}
	for _, size := range []struct {
		nodes          int
		grace          time.Duration
		watchOnRequest bool
	}{{1, 2 * time.Second, false}, {40, 300 * time.Millisecond, false}, {40, time.Minute, false}, {1, 2 * time.Second, true}, {40, 2 * time.Second, true}} {
		for name, failure := range failures {
			for _, duration := range []time.Duration{10 * time.Millisecond, 4 * time.Second, 21700 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s for %v, %d nodes, grace %v, watch on request %v", name, duration, size.nodes, size.grace, size.watchOnRequest), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						f, d := newFleet(t), newFakeDiscovery(5)
						defer f.close()
						f.serve("one", d)
						cached := d.list()
						for range size.nodes {
							client := New(Options{Address: "one", Nodes: size.nodes, DrainGrace: size.grace, WatchOnRequest: size.watchOnRequest, Dial: f.dial,
								Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Count: &counters.Counters{}}, cached)
							f.clients = append(f.clients, client)
							go client.Run(f.ctx, cached, &watchRequester{client})
						}
						time.Sleep(9 * time.Second) // every client has a watch in flight by then
						failure.begin(d)
						time.Sleep(duration)
						d.drainServer()
						if failure.end != nil {
							failure.end(d)
						}
						if took := f.waitForRevision(2); took > notifyDeadline {
							t.Errorf("last node received the change %v after discovery recovered, want at most %v", took, notifyDeadline)
						}
					})
				})
			}
		}
	}
}

// Fixed backoffs of up to 3 s once made nodes with a drain grace of 0.3 s send requests to draining servers, since the protocol
// considers a node notified of pending changes as soon as discovery recovers. The backoff must stay within the drain grace.
func TestFailureBackoffStaysWithinDrainGrace(t *testing.T) {
	for _, tc := range deployments {
		t.Run(fmt.Sprintf("%d nodes, %v", tc.nodes, tc.grace), func(t *testing.T) {
			t.Parallel()
			listener := listenTCP(t)
			client := New(Options{Address: listener.Addr().String(), Nodes: tc.nodes, DrainGrace: tc.grace,
				Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Count: &counters.Counters{}}, List{})
			// The protocol considers a node notified of all changes that a lost watch missed, including older ones, this long after the hold.
			const notifiedAfterHold = 2 * time.Second
			if maxDelay := notifiedAfterHold + tc.grace; client.intervals.watchTimeoutMargin+minFailureBackoff >= maxDelay {
				t.Errorf("watch times out %v after the hold, want less than %v minus the shortest backoff", client.intervals.watchTimeoutMargin, maxDelay)
			}
			go client.Run(t.Context(), List{}, ignoreUpdates{})
			var failedAt time.Time
			for call := range 8 { // discovery is down: each call fails, and the backoff grows to its maximum
				conn, err := listener.Accept()
				if err != nil {
					t.Fatal(err)
				}
				if gap := time.Since(failedAt); call > 3 && gap > tc.grace {
					t.Errorf("call %d came %v after the failed call, want at most %v", call, gap, tc.grace)
				}
				_ = conn.Close()
				failedAt = time.Now()
			}
		})
	}
}

// updateChannel is a handler that sends its updates to a channel.
type updateChannel chan balancer.EndpointUpdate

func (c updateChannel) UpdateEndpoints(update balancer.EndpointUpdate) { c <- update }

// recordedCall is a call that scriptedDiscovery received.
type recordedCall struct {
	revision   string // empty for the complete list
	receivedAt time.Time
}

// scriptedDiscovery rejects the second call with Retry-After and the third call without, fails the fifth, and answers all others.
type scriptedDiscovery struct {
	mu    sync.Mutex
	calls []recordedCall
}

func (d *scriptedDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls = append(d.calls, recordedCall{r.URL.Query().Get("from"), time.Now()})
	switch len(d.calls) {
	case 2:
		w.Header().Set("Retry-After", "0.3")
		w.WriteHeader(http.StatusServiceUnavailable)
	case 3:
		w.WriteHeader(http.StatusTooManyRequests)
	case 5:
		w.WriteHeader(http.StatusInternalServerError)
	default:
		_, _ = io.WriteString(w, sampleListJSON)
	}
}

func (d *scriptedDiscovery) recorded() []recordedCall {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]recordedCall(nil), d.calls...)
}

// A rejected watch must resume from the current revision, after Retry-After if there is one. After any other failure the client must
// request the complete list.
func TestRejectedWatchResumesFromRevision(t *testing.T) {
	const retryAfter = 300 * time.Millisecond
	d := &scriptedDiscovery{}
	listener := listenTCP(t)
	server := &http.Server{Handler: d}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	client := New(Options{Address: listener.Addr().String(), Nodes: fewNodes + 1, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Count: &counters.Counters{}}, List{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	updates := make(updateChannel, 64)
	go client.Run(ctx, List{}, updates)
	for len(d.recorded()) < 6 {
		select {
		case <-updates:
		case <-time.After(10 * time.Second):
			t.Fatal("client stopped polling before its sixth call")
		}
	}
	calls := d.recorded()
	var got []string
	for _, call := range calls[:6] {
		got = append(got, call.revision)
	}
	if want := []string{"", "41", "41", "41", "41", ""}; !reflect.DeepEqual(got, want) {
		t.Errorf("calls with revisions %q, want %q", got, want)
	}
	if delay := calls[2].receivedAt.Sub(calls[1].receivedAt); delay < retryAfter {
		t.Errorf("delay after a rejected call = %v, want at least %v", delay, retryAfter)
	}
}
