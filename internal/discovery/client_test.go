package discovery

import (
	"testing"

	"tackhub.example/tackhub/balancer"
)

func TestAddressReturnsOnlyServingMembers(t *testing.T) {
	c := New(Options{Address: "127.0.0.1:1"}, List{Members: []Member{{ID: "a", HostPort: "1.1.1.1:1", Phase: "SERVING"},
		{ID: "b", HostPort: "1.1.1.1:2", Phase: "DRAINING"}}})
	expect := func(want map[balancer.ServerID]string) {
		t.Helper()
		for _, id := range []balancer.ServerID{"a", "b", "c"} {
			if addr, ok := c.Address(id); addr != want[id] || ok != (want[id] != "") {
				t.Errorf("Address(%s) = %q, %v, want %q", id, addr, ok, want[id])
			}
		}
	}
	expect(map[balancer.ServerID]string{"a": "1.1.1.1:1"})
	c.updateMembers(List{Members: []Member{{ID: "a", HostPort: "1.1.1.1:1", Phase: "odd"}, {ID: "b", HostPort: "1.1.1.1:2", Phase: "SERVING"}}})
	expect(map[balancer.ServerID]string{"b": "1.1.1.1:2"})
	c.updateMembers(List{Members: []Member{{ID: "a", HostPort: "2.2.2.2:1", Phase: "SERVING"}, {ID: "b", Phase: "DELETED"}}})
	expect(map[balancer.ServerID]string{"a": "2.2.2.2:1"})
	c.updateMembers(List{Complete: true, Members: []Member{{ID: "c", HostPort: "3.3.3.3:1", Phase: "SERVING"}}})
	expect(map[balancer.ServerID]string{"c": "3.3.3.3:1"})
}
