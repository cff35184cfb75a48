package balancer

import (
	"fmt"
	"testing"
)

// Guards against memory that grows with every server ever seen: fleets are renewed all day under
// new names.
func TestRemovedServersAreForgotten(t *testing.T) {
	b := newTestNode(t, settings(), testEndpoints(1)...)
	id, acts := b.arrive("read", 2000)
	at := sentTo(acts)
	for i := range 500 {
		e := Endpoint{ID: ServerID(fmt.Sprintf("n%d", i)), Zone: "z", Capacity: 1}
		b.step(EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{e}})
		e.State = Removed
		b.step(EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{e}})
	}
	b.step(EndpointUpdate{Kind: FullUpdate, Endpoints: []Endpoint{{ID: "last", Zone: "z", Capacity: 1}}})
	if len(b.balancer.servers.byID) != 2 || len(b.balancer.servers.known) != 2 {
		t.Errorf("%d and %d servers remembered, want the last and the one with a request out", len(b.balancer.servers.byID), len(b.balancer.servers.known))
	}
	b.end(id, 0, at, OK, 20)
	b.step(EndpointUpdate{Kind: FullUpdate, Endpoints: []Endpoint{{ID: "last", Zone: "z", Capacity: 1}}})
	if len(b.balancer.servers.byID) != 1 || len(b.balancer.servers.known) != 1 {
		t.Errorf("%d and %d servers remembered, want the last", len(b.balancer.servers.byID), len(b.balancer.servers.known))
	}
}

// Guards against counting a connection twice or below none: a probe and an attempt take one, an
// answer gives one back, and what broke or was cancelled gives none.
func TestIdleConnectionsAreCounted(t *testing.T) {
	b := newTestNode(t, fleet(0.1), testEndpoints(1)...)
	s := b.balancer.servers.byID["s0"]
	for _, step := range []struct {
		result Outcome
		want   int
	}{{OK, 1}, {Errored, 2}, {Overloaded, 3}, {ConnectionLost, 3}, {TimedOut, 3}, {Unreachable, 3}, {Cancelled, 3}, {NotSent, 3}} {
		if s.recordConnection(step.result); s.idleConnections != step.want {
			t.Errorf("%d connections idle after result %v, want %d", s.idleConnections, step.result, step.want)
		}
	}
	for range 5 {
		b.step(ConnectionClosed{Server: "s0"})
	}
	b.step(ConnectionClosed{Server: "unheard of"})
	if s.idleConnections != 0 {
		t.Errorf("%d connections idle after all were closed", s.idleConnections)
	}
}
