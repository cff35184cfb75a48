package balancer

import (
	"fmt"
	"testing"
)

// Guards against memory that grows with every server that was ever listed: fleets replace servers
// continuously, and each replacement has a new name.
func TestRemovedServersAreForgotten(t *testing.T) {
	b := newTestNode(t, settings(), testEndpoints(1)...)
	id, acts := b.arrive("read", 2000)
	usedServer := sentTo(acts)
	for i := range 500 {
		e := Endpoint{ID: ServerID(fmt.Sprintf("n%d", i)), Zone: "z", Capacity: 1}
		b.step(EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{e}})
		e.State = Removed
		b.step(EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{e}})
	}
	b.step(EndpointUpdate{Kind: FullUpdate, Endpoints: []Endpoint{{ID: "last", Zone: "z", Capacity: 1}}})
	if len(b.balancer.servers.byID) != 2 || len(b.balancer.servers.known) != 2 {
		t.Errorf("servers in byID = %d and known = %d, want 2 each: the listed one and the one with an open attempt", len(b.balancer.servers.byID), len(b.balancer.servers.known))
	}
	b.completeAttempt(id, 0, usedServer, OK, 20)
	b.step(EndpointUpdate{Kind: FullUpdate, Endpoints: []Endpoint{{ID: "last", Zone: "z", Capacity: 1}}})
	if len(b.balancer.servers.byID) != 1 || len(b.balancer.servers.known) != 1 {
		t.Errorf("servers in byID = %d and known = %d, want 1 each: the listed one", len(b.balancer.servers.byID), len(b.balancer.servers.known))
	}
}

// Guards against a wrong or negative number of idle connections: a probe and an attempt take one, and a
// response returns it, but a failed or cancelled attempt does not.
func TestIdleConnectionsAreCounted(t *testing.T) {
	b := newTestNode(t, largeFleetSettings(0.1), testEndpoints(1)...)
	s := b.balancer.servers.byID["s0"]
	for _, step := range []struct {
		outcome Outcome
		want    int
	}{{OK, 1}, {Errored, 2}, {Overloaded, 3}, {ConnectionLost, 3}, {TimedOut, 3}, {Unreachable, 3}, {Cancelled, 3}, {NotSent, 3}} {
		if s.recordConnection(step.outcome); s.idleConnections != step.want {
			t.Errorf("idle connections = %d after outcome %v, want %d", s.idleConnections, step.outcome, step.want)
		}
	}
	for range 5 {
		b.step(ConnectionClosed{Server: "s0"})
	}
	b.step(ConnectionClosed{Server: "unknown"})
	if s.idleConnections != 0 {
		t.Errorf("idle connections = %d after all were closed, want 0", s.idleConnections)
	}
}
