package discovery

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/clock"
	"tackhub.example/tackhub/internal/counters"
)

// TestNoChainOfWaitsPassesWhatNewsMayTake holds the sum for every number of nodes and any grace. Before the waits were shared
// out of one bound a watch was held for 20 s with 32 nodes or more, and a time to stay away was kept up to 15 s.
func TestNoChainOfWaitsPassesWhatNewsMayTake(t *testing.T) {
	for nodes := range 1025 {
		for _, grace := range []time.Duration{0, time.Millisecond, 300 * time.Millisecond, 2 * time.Second, time.Minute} {
			for _, mustAsk := range []time.Duration{0, 200 * time.Millisecond, 10 * time.Second} {
				for _, subscribe := range []bool{false, true} {
					p := paceFor(Options{Nodes: nodes, DrainGrace: grace, MaxPollInterval: mustAsk, Subscribe: subscribe})
					if worst := p.worst(subscribe); worst > toldLatest {
						t.Fatalf("%d nodes, grace %v, asked for %v: news may take %v: %+v", nodes, grace, subscribe, worst, p)
					}
					for range 20 {
						if d := p.rest(time.Hour, p.pause); d > p.away || d < p.away/2 {
							t.Fatalf("%d nodes: stays away for %v, bound %v", nodes, d, p.away)
						}
						if d := p.rest(0, p.quiet); d > p.away {
							t.Fatalf("%d nodes: rests for %v, bound %v", nodes, d, p.away)
						}
					}
					if p.hold < time.Second && mustAsk == 0 || p.hold < 100*time.Millisecond || p.answer <= 0 || p.away <= 0 {
						t.Fatalf("%d nodes, grace %v: %+v", nodes, grace, p)
					}
				}
			}
		}
	}
}

// asker stands in for a module that must ask for the list: it takes its longest pause after each call that failed.
type asker struct{ c *Client }

func (a *asker) UpdateEndpoints(l balancer.EndpointUpdate) {
	switch l.Kind {
	case balancer.CachedUpdate:
		a.c.WatchEndpoints()
	case balancer.UpdateFailed:
		time.AfterFunc(clock.Span(balancer.MaxPollBackoff), a.c.WatchEndpoints)
	}
}

// TestNewsWithinSixSecondsWhateverACallMet has each kind of trouble end with a change of the list, and every node know it
// within what the operators allow, whatever moment of its waiting that meets.
func TestNewsWithinSixSecondsWhateverACallMet(t *testing.T) {
	troubles := map[string]struct {
		begin, end func(a *agency)
	}{
		"watches fall silent, others are served":   {begin: func(a *agency) { a.lose() }},
		"turned away for an hour":                  {begin: func(a *agency) { a.set(func() { a.closed, a.after = true, "3600" }) }, end: func(a *agency) { a.set(func() { a.closed = false }) }},
		"turned away with no time":                 {begin: func(a *agency) { a.set(func() { a.closed = true }) }, end: func(a *agency) { a.set(func() { a.closed = false }) }},
		"silent, then back":                        {begin: func(a *agency) { a.set(func() { a.silent = true }) }, end: func(a *agency) { a.set(func() { a.silent = false }) }},
		"half answers":                             {begin: func(a *agency) { a.set(func() { a.half = true }) }, end: func(a *agency) { a.set(func() { a.half = false }) }},
		"connections hang, watches are lost":       {begin: func(a *agency) { a.lose(); a.set(func() { a.hanging = true }) }, end: func(a *agency) { a.set(func() { a.hanging = false }) }},
		"no connection comes up, watches are lost": {begin: func(a *agency) { a.lose(); a.set(func() { a.refusing = true }) }, end: func(a *agency) { a.set(func() { a.refusing = false }) }},
	}
	for _, size := range []struct {
		nodes     int
		grace     time.Duration
		subscribe bool
	}{{1, 2 * time.Second, false}, {40, 300 * time.Millisecond, false}, {40, time.Minute, false}, {1, 2 * time.Second, true}, {40, 2 * time.Second, true}} {
		for name, trouble := range troubles {
			for _, lasts := range []time.Duration{10 * time.Millisecond, 4 * time.Second, 21700 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s for %v, %d nodes, grace %v, asked for %v", name, lasts, size.nodes, size.grace, size.subscribe), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						c, a := newCrowd(t), newAgency(5)
						defer c.end()
						c.agency("one", a)
						known := a.known()
						for range size.nodes {
							f := New(Options{Address: "one", Nodes: size.nodes, DrainGrace: size.grace, Subscribe: size.subscribe, Dial: c.dial,
								Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Count: &counters.Counters{}}, known)
							c.all = append(c.all, f)
							go f.Run(c.ctx, known, &asker{f})
						}
						time.Sleep(9 * time.Second) // all watch by then, in whatever phase
						trouble.begin(a)
						time.Sleep(lasts)
						a.drain()
						if trouble.end != nil {
							trouble.end(a)
						}
						if took := c.informed(2); took > toldLatest {
							t.Errorf("the last node knew %v after discovery had the change and could be reached", took)
						}
					})
				})
			}
		}
	}
}
