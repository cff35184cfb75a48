package endpoints

import (
	"testing"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/discovery"
	"tackhub.example/tackhub/internal/endpointmerge"
)

// The senders compare the group for which the balancer has chosen a server with its present one. That must be the one of the list that was
// passed to the balancer last, whoever made it, also while the inventory is turned on and off: otherwise sound attempts would be held back, or
// repeats written to servers that have left their group.
func TestGroupsAreThoseOfTheListThatWasPassedLast(t *testing.T) {
	n := newFakeNode()
	d := n.directory
	check := func(step, id string, zone string, cell int, known bool) {
		t.Helper()
		if z, c, k := d.Groups(balancer.ServerID(id)); z != zone || c != cell || k != known {
			t.Errorf("%s: groups of %s = %q, %d, %v; want %q, %d, %v", step, id, z, c, k, zone, cell, known)
		}
	}
	check("no list", "s1", "", 0, false)
	list := discovery.List{Members: []discovery.Member{{ID: "s1", Locality: "a", Cell: 3, Phase: discovery.PhaseServing},
		{ID: "s2", Locality: "a", Cell: 4, Phase: discovery.PhaseServing}}}
	d.HandleMembers(list, balancer.FullUpdate)
	check("discovery's list", "s1", "a", 3, true)
	moved := discovery.List{Members: []discovery.Member{{ID: "s1", Locality: "b", Cell: 5, Phase: discovery.PhaseServing}, {ID: "s2", Phase: discovery.PhaseDeleted}}}
	d.HandleMembers(moved, balancer.DeltaUpdate)
	check("discovery's change", "s1", "b", 5, true)
	check("discovery's removal", "s2", "", 0, false)
	d.attach(discardingConsumer{})
	d.HandleMembers(list, balancer.FullUpdate) // goes to the inventory, not to the balancer
	check("inventory on, not published", "s1", "b", 5, true)
	d.publish([]endpointmerge.Entry{{ID: "s1", Zone: "a", Cell: 9}}, balancer.FullUpdate)
	check("inventory's list", "s1", "a", 9, true)
	d.detach()
	check("inventory off, no new list", "s1", "a", 9, true)
	d.HandleMembers(list, balancer.FullUpdate)
	check("discovery's list again", "s1", "a", 3, true)
}

// discardingConsumer discards discovery's lists.
type discardingConsumer struct{}

func (discardingConsumer) handleDiscovery(discovery.List, balancer.UpdateKind) {}

// A request that CoAP cannot express is refused at once only if no other server is there to get it.
func TestAllHaveSchemeSeesEveryServerThatMayGetRequests(t *testing.T) {
	n := newFakeNode()
	d := n.directory
	if d.AllHaveScheme("coap://") {
		t.Error("without the inventory: true, want false, since discovery's servers speak HTTP")
	}
	d.attach(discardingConsumer{})
	coap := endpointmerge.Entry{ID: "c", Address: "coap://10.0.0.1:5683"}
	http := endpointmerge.Entry{ID: "h", Address: "10.0.0.2:80"}
	drained := http
	drained.Draining = true
	for name, c := range map[string]struct {
		list []endpointmerge.Entry
		want bool
	}{
		"none":             {nil, false},
		"CoAP":             {[]endpointmerge.Entry{coap}, true},
		"both":             {[]endpointmerge.Entry{coap, http}, false},
		"HTTP that drains": {[]endpointmerge.Entry{coap, drained}, true},
	} {
		d.publish(c.list, balancer.FullUpdate)
		if got := d.AllHaveScheme("coap://"); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}
