package discovery

import (
	"testing"

	"tackhub.example/tackhub/balancer"
)

// A machine is lost without a word, and a new server comes up at its address while the list still names the old one. The node once connected to
// the new process for requests that it meant for the old one, whose group of repeats, records and slow start are others.
func TestAddressBelongsToLatestServerAtIt(t *testing.T) {
	const address = "10.0.0.1:80"
	for name, test := range map[string]struct {
		lists  []List
		owner  string
		others []string
	}{
		"later start": {[]List{{Revision: 1, Complete: true, Members: []Member{
			{ID: "new", HostPort: address, Phase: PhaseServing, UpSince: 20}, {ID: "old", HostPort: address, Phase: PhaseServing, UpSince: 10}}}}, "new", []string{"old"}},
		"named later": {[]List{
			{Revision: 1, Complete: true, Members: []Member{{ID: "old", HostPort: address, Phase: PhaseServing}}},
			{Revision: 2, Members: []Member{{ID: "new", HostPort: address, Phase: PhaseServing}}}}, "new", []string{"old"}},
		"old one is named again": {[]List{
			{Revision: 1, Complete: true, Members: []Member{{ID: "old", HostPort: address, Phase: PhaseServing, UpSince: 10}}},
			{Revision: 2, Members: []Member{{ID: "new", HostPort: address, Phase: PhaseServing, UpSince: 20}}},
			{Revision: 3, Members: []Member{{ID: "old", HostPort: address, Phase: PhaseServing, UpSince: 10}}}}, "new", []string{"old"}},
		"new one drains": {[]List{{Revision: 1, Complete: true, Members: []Member{
			{ID: "old", HostPort: address, Phase: PhaseServing, UpSince: 10}, {ID: "new", HostPort: address, Phase: PhaseDraining, UpSince: 20}}}}, "", []string{"old", "new"}},
		"new one is gone": {[]List{
			{Revision: 1, Complete: true, Members: []Member{
				{ID: "old", HostPort: address, Phase: PhaseServing, UpSince: 10}, {ID: "new", HostPort: address, Phase: PhaseServing, UpSince: 20}}},
			{Revision: 2, Members: []Member{{ID: "new", Phase: PhaseDeleted}}}}, "old", []string{"new"}},
	} {
		c := &Client{members: map[balancer.ServerID]Member{}}
		for _, list := range test.lists {
			c.updateMembers(list)
		}
		if got, ok := c.Address(balancer.ServerID(test.owner)); test.owner != "" && (!ok || got != address) {
			t.Errorf("%s: address of %s = %q, %v, want %s", name, test.owner, got, ok, address)
		}
		for _, other := range test.others {
			if got, ok := c.Address(balancer.ServerID(other)); ok {
				t.Errorf("%s: address of %s = %q, want none", name, other, got)
			}
		}
	}
}
