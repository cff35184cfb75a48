package main

import (
	"strings"
	"testing"
)

// Two nodes are configured with each other's addresses and a third with none. The two must exchange gossip, and the third must
// neither send nor receive any.
func TestGossipRequiresConfiguredPeers(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "ok"))
	d := startDiscoveryServer(t, members(s))
	nodes := []string{freeAddress(t), freeAddress(t)}
	firstSettings := strings.Replace(settingsWithLoadReports(), `"fleet_size":1`, `"fleet_size":2`, 1)
	firstSettings = strings.Replace(firstSettings, `"may_cancel":true`, `"may_cancel":true,"peers":true`, 1)
	secondSettings := strings.Replace(firstSettings, `"me":0`, `"me":1`, 1)
	node0 := startNode(t, nodeOptions{discovery: d.addr, settings: firstSettings, peers: nodes})
	node1 := startNode(t, nodeOptions{discovery: d.addr, settings: secondSettings, peers: nodes})
	eventually(t, "a gossip message between the nodes", func() bool {
		node0.mustDo(request("look", 1000))
		return node1.counts().Gossip.Taken > 0
	})
	isolated, _ := startWithBackends(t, "", s)
	isolated.mustDo(request("look", 1000))
	if got := isolated.counts().Gossip; got.Sent != 0 || got.Taken != 0 {
		t.Errorf("gossip of the node without peers = %+v, want none", got)
	}
}
