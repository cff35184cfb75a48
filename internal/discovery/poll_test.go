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

// deployment is what the intervals depend on.
type deployment struct {
	nodes int
	grace time.Duration
}

var deployments = []deployment{{3, 300 * time.Millisecond}, {300, 300 * time.Millisecond}, {300, 900 * time.Millisecond}}

// listenTCP returns a listener for a test that plays discovery itself.
func listenTCP(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// longestPause is the longest pause between calls of a large fleet's client.
var longestPause = intervalsFor(Options{Nodes: manyNodes, DrainGrace: grace}).maxRetryDelay

// slowAnswer is the time of a call that gets its answer just before its timeout.
const slowAnswer = callTimeoutManyNodes + promptAnswer

// fleetCases are the states of discovery in which a change happens.
var fleetCases = []struct {
	name  string
	bound time.Duration // from the change, or from when discovery answers again
	play  func(f *fleet, d *fakeDiscovery)
}{
	{"a change right at the start", grace, func(f *fleet, d *fakeDiscovery) {
		f.join(manyNodes, "one", d.list())
		d.drainServer()
	}},
	{"a change under held watches", promptAnswer, func(f *fleet, d *fakeDiscovery) {
		f.join(manyNodes, "one", d.list())
		time.Sleep(12 * time.Second)
		d.drainServer()
	}},
	{"restarted together with an old list", grace, func(f *fleet, d *fakeDiscovery) {
		old := d.list()
		d.drainServer()
		f.join(manyNodes, "one", old)
	}},
	{"rejected without a time", longestPause + promptAnswer, func(f *fleet, d *fakeDiscovery) {
		f.join(manyNodes, "one", d.list())
		d.update(func() { d.rejecting = true })
		time.Sleep(20 * time.Second)
		d.drainServer()
		d.update(func() { d.rejecting = false })
	}},
	{"rejected for a second", time.Second + longestPause + promptAnswer, func(f *fleet, d *fakeDiscovery) {
		f.join(manyNodes, "one", d.list())
		d.update(func() { d.rejecting, d.retryAfter = true, "1" })
		time.Sleep(20 * time.Second)
		d.drainServer()
		d.update(func() { d.rejecting = false })
	}},
	{"silent, a watch is in flight", slowAnswer + longestPause + slowAnswer, func(f *fleet, d *fakeDiscovery) {
		f.join(manyNodes, "one", d.list())
		time.Sleep(7 * time.Second)
		d.update(func() { d.silent = true })
		d.drainServer()
		time.Sleep(10 * time.Second)
		d.update(func() { d.silent = false })
	}},
	{"cut off, connections hang, then back", grace, func(f *fleet, d *fakeDiscovery) {
		f.join(manyNodes, "one", d.list())
		time.Sleep(7 * time.Second)
		d.update(func() { d.hanging, d.resetting = true, true })
		d.drainServer() // ends the watches, whose connections are reset
		time.Sleep(10 * time.Second)
		d.update(func() { d.hanging, d.resetting = false, false })
	}},
	{"new address while it was silent", promptAnswer, func(f *fleet, d *fakeDiscovery) {
		f.join(manyNodes, "one", d.list())
		time.Sleep(7 * time.Second)
		d.update(func() { d.silent = true })
		d.drainServer()
		two := newFakeDiscovery(0)
		two.revision, two.members = d.revision, d.members
		f.serve("two", two)
		for _, client := range f.clients {
			client.SetAddress("two")
		}
	}},
}

// First calls were once spread by the number of nodes alone, over 30 s with 300 of them, and servers that drained got
// requests for as long. docs/discovery.md works out, for each state of discovery, how long a change takes to reach every node;
// this test holds those times.
func TestLargeFleetLearnsChangesInTime(t *testing.T) {
	for _, tc := range fleetCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, d := newFleet(t), newFakeDiscovery(40)
				defer f.close()
				f.serve("one", d)
				tc.play(f, d)
				if took := f.waitInformed(2); took > tc.bound {
					t.Errorf("the last client knew after %v, bound %v", took, tc.bound)
				}
			})
		})
	}
}

// A discovery can answer a limited rate of calls. Those that come faster wait until they are rejected, nearly all of them, and
// come again: a fleet that restarts would never be informed. The clients must not call faster than discovery can answer.
func TestSlowDiscoveryIsNotOverloaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes, servers, rate = 36, 24, 180.0
		f, d := newFleet(t), newFakeDiscovery(servers)
		defer f.close()
		d.entriesPerSecond = rate
		f.serve("one", d)
		old := d.list()
		d.drainServer()
		f.join(nodes, "one", old)
		least := time.Duration(nodes * servers / rate * float64(time.Second)) // were none rejected
		if took := f.waitInformed(2); took > 4*least {
			t.Errorf("the last of %d clients knew after %v, all lists take %v", nodes, took, least)
		}
	})
}

// Whatever the calls before met, a change counts as known informDeadline after discovery had it and could be reached; a node
// that learns later sends requests to servers that drain. Each kind of failure here ends with a change, and every node must
// know it by then, whatever it was waiting for.
func TestChangesKnownInTimeAfterAnyFailure(t *testing.T) {
	failures := map[string]struct {
		begin, end func(d *fakeDiscovery)
	}{
		"watches are lost, other calls are answered": {begin: func(d *fakeDiscovery) { d.loseConns() }},
		"rejected for an hour":                       {begin: func(d *fakeDiscovery) { d.update(func() { d.rejecting, d.retryAfter = true, "3600" }) }, end: func(d *fakeDiscovery) { d.update(func() { d.rejecting = false }) }},
		"rejected without a time":                    {begin: func(d *fakeDiscovery) { d.update(func() { d.rejecting = true }) }, end: func(d *fakeDiscovery) { d.update(func() { d.rejecting = false }) }},
		"silent, then back":                          {begin: func(d *fakeDiscovery) { d.update(func() { d.silent = true }) }, end: func(d *fakeDiscovery) { d.update(func() { d.silent = false }) }},
		"truncated answers":                          {begin: func(d *fakeDiscovery) { d.update(func() { d.truncating = true }) }, end: func(d *fakeDiscovery) { d.update(func() { d.truncating = false }) }},
		"connections hang, watches are lost":         {begin: func(d *fakeDiscovery) { d.loseConns(); d.update(func() { d.hanging = true }) }, end: func(d *fakeDiscovery) { d.update(func() { d.hanging = false }) }},
		"no connection comes up, watches are lost":   {begin: func(d *fakeDiscovery) { d.loseConns(); d.update(func() { d.refusing = true }) }, end: func(d *fakeDiscovery) { d.update(func() { d.refusing = false }) }},
	}
	for _, size := range []struct {
		nodes     int
		grace     time.Duration
		subscribe bool
	}{{1, 2 * time.Second, false}, {40, 300 * time.Millisecond, false}, {40, time.Minute, false}, {1, 2 * time.Second, true}, {40, 2 * time.Second, true}} {
		for name, failure := range failures {
			for _, lasts := range []time.Duration{10 * time.Millisecond, 4 * time.Second, 21700 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s for %v, %d nodes, grace %v, on demand %v", name, lasts, size.nodes, size.grace, size.subscribe), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						f, d := newFleet(t), newFakeDiscovery(5)
						defer f.close()
						f.serve("one", d)
						known := d.list()
						for range size.nodes {
							client := New(Options{Address: "one", Nodes: size.nodes, DrainGrace: size.grace, WatchOnRequest: size.subscribe, Dial: f.dial,
								Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Count: &counters.Counters{}}, known)
							f.clients = append(f.clients, client)
							go client.Run(f.ctx, known, &onDemandBalancer{client})
						}
						time.Sleep(9 * time.Second) // all watch by then
						failure.begin(d)
						time.Sleep(lasts)
						d.drainServer()
						if failure.end != nil {
							failure.end(d)
						}
						if took := f.waitInformed(2); took > informDeadline {
							t.Errorf("the last node knew %v after discovery had the change and could be reached", took)
						}
					})
				})
			}
		}
	}
}

// Fixed pauses of up to 3 s had nodes with a drain grace of 0.3 s send requests to servers that drained, since what a
// discovery has when it comes back counts as known at once. Pauses now follow the grace.
func TestSilentBackoffFitsAnyGrace(t *testing.T) {
	for _, tc := range deployments {
		t.Run(fmt.Sprintf("%d nodes, %v", tc.nodes, tc.grace), func(t *testing.T) {
			t.Parallel()
			l := listenTCP(t)
			client := New(Options{Address: l.Addr().String(), Nodes: tc.nodes, DrainGrace: tc.grace,
				Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Count: &counters.Counters{}}, List{})
			const knownAfterHold = 2 * time.Second // the protocol's: a lost watch's changes count as known then, even older ones
			if late := knownAfterHold + tc.grace; client.intervals.watchOverrun+minSilentBackoff >= late {
				t.Errorf("a watch is given up %v beyond the hold, what it misses counts after %v", client.intervals.watchOverrun, late)
			}
			go client.Run(t.Context(), List{}, ignoreList{})
			var failed time.Time
			for call := range 8 { // discovery is down: each call fails, and the pauses grow to their longest
				nc, err := l.Accept()
				if err != nil {
					t.Fatal(err)
				}
				if gap := time.Since(failed); call > 3 && gap > tc.grace {
					t.Errorf("call %d came %v after the one that failed, beyond the grace", call, gap)
				}
				_ = nc.Close()
				failed = time.Now()
			}
		})
	}
}

// listChannel receives the updates of a client.
type listChannel chan balancer.EndpointUpdate

func (h listChannel) UpdateEndpoints(l balancer.EndpointUpdate) { h <- l }

// recordedCall is a call that a scripted discovery got.
type recordedCall struct {
	from string // the revision, empty for the complete list
	at   time.Time
}

// scriptedDiscovery rejects the second call with and the third without a time, fails the fifth, and answers all others.
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
		_, _ = io.WriteString(w, goodAnswer)
	}
}

func (d *scriptedDiscovery) recorded() []recordedCall {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]recordedCall(nil), d.calls...)
}

// A rejected watch is resumed from the revision that is held, after Retry-After where there is one. After any other failure
// the complete list is requested.
func TestRejectedWatchResumes(t *testing.T) {
	const retryAfter = 300 * time.Millisecond
	d := &scriptedDiscovery{}
	l := listenTCP(t)
	server := &http.Server{Handler: d}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	client := New(Options{Address: l.Addr().String(), Nodes: fewNodes + 1, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Count: &counters.Counters{}}, List{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	updates := make(listChannel, 64)
	go client.Run(ctx, List{}, updates)
	for len(d.recorded()) < 6 {
		select {
		case <-updates:
		case <-time.After(10 * time.Second):
			t.Fatal("the client has stopped polling")
		}
	}
	calls := d.recorded()
	var got []string
	for _, call := range calls[:6] {
		got = append(got, call.from)
	}
	if want := []string{"", "41", "41", "41", "41", ""}; !reflect.DeepEqual(got, want) {
		t.Errorf("called with revisions %q, want %q", got, want)
	}
	if pause := calls[2].at.Sub(calls[1].at); pause < retryAfter {
		t.Errorf("called again after %v, Retry-After is %v", pause, retryAfter)
	}
}
