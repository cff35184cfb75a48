package main

import (
	"strings"
	"testing"
)

// Two nodes have each other's addresses, and a third has none. The two exchange gossip, and the third sends and
// receives none.
func TestGossipOnlyWhereConfigured(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "ok"))
	d := startDiscoveryServer(t, members(s))
	nodes := []string{freeAddress(t), freeAddress(t)}
	talking := strings.Replace(withReports(), `"fleet_size":1`, `"fleet_size":2`, 1)
	talking = strings.Replace(talking, `"may_cancel":true`, `"may_cancel":true,"peers":true`, 1)
	second := strings.Replace(talking, `"me":0`, `"me":1`, 1)
	one := startNode(t, nodeOptions{discovery: d.addr, settings: talking, peers: nodes})
	two := startNode(t, nodeOptions{discovery: d.addr, settings: second, peers: nodes})
	eventually(t, "a message between the nodes", func() bool {
		one.mustDo(request("look", 1000))
		return two.counts().Peers.Taken > 0
	})
	quiet, _ := startWithBackends(t, "", s)
	quiet.mustDo(request("look", 1000))
	if got := quiet.counts().Peers; got.Sent != 0 || got.Taken != 0 {
		t.Errorf("a node without addresses talked: %+v", got)
	}
}
