package cluster

import (
	"context"
	"io"
	"log/slog"
	"net"
	"testing"

	"github.com/cespare/xxhash/v2"

	"tackhub.example/tackhub/internal/counters"
	"tackhub.example/tackhub/internal/membership"
)

// TestLivenessStreamWithoutQuotas: a node whose cluster section names no members with quotas has no quota agent. A member that has one
// opens a liveness stream to it, as happens while quotas are rolled out node by node. The node has to drop the stream and count it;
// instead it follows the missing agent, and the process ends with a nil pointer.
func TestLivenessStreamWithoutQuotas(t *testing.T) {
	defer func() {
		if p := recover(); p != nil {
			t.Errorf("a member's liveness stream ends the process: %v", p)
		}
	}()
	here, there := net.Pipe()
	defer here.Close()
	defer there.Close()
	go func() { _, _ = io.Copy(io.Discard, there) }()
	var withoutQuotas *quotaAgent
	withoutQuotas.watchProcess(context.Background(), here, &membership.Message{Kind: membership.LivenessStream, From: "n1"})
}

// Each liveness stream that a member does not accept is ended and counted under its reason, whether or not the member divides a quota.
func TestLivenessStreamsThatAreNotAccepted(t *testing.T) {
	quotaMembers := map[string]string{"n1": "10.0.0.1:7946", "n2": "10.0.0.2:7946"}
	for name, c := range map[string]struct {
		quotaMembers  map[string]string
		from, address string
		openStreams   int
		reason        dropReason
	}{
		"no quota here":             {nil, "n2", "10.0.0.2:7946", 0, dropLiveness},
		"no member of the quota":    {quotaMembers, "n3", "10.0.0.3:7946", 0, dropLiveness},
		"another address":           {quotaMembers, "n2", "10.0.0.9:7946", 0, dropLiveness},
		"as many as may be held":    {quotaMembers, "n2", "10.0.0.2:7946", maxLivenessStreams, dropLivenessFull},
		"this member's own name":    {quotaMembers, "n1", "10.0.0.1:7946", 0, dropLiveness},
		"an address that is absent": {quotaMembers, "n2", "", 0, dropLiveness},
	} {
		t.Run(name, func(t *testing.T) {
			l := &link{options: Options{Cluster: wireCluster, QuotaMembers: c.quotaMembers}, name: "n1", log: slog.New(slog.DiscardHandler),
				counters: &counters.Cluster{}, incomingStreams: make(chan struct{}, 1)}
			if l.quota = newQuotaAgent(l); l.quota != nil {
				l.quota.peers = []string{"n2"}
				l.quota.livenessByPeer["n2"] = c.openStreams
			}
			here, there := net.Pipe()
			defer there.Close()
			l.incomingStreams <- struct{}{}
			ended := make(chan struct{})
			go func() {
				l.serveStream(context.Background(), here)
				close(ended)
			}()
			m := membership.Message{Kind: membership.LivenessStream, Version: 1, ClusterHash: uint32(xxhash.Sum64String(wireCluster)),
				From: c.from, Generation: 12, Address: c.address}
			if _, err := writeMessage(there, m); err != nil {
				t.Fatal(err)
			}
			<-ended
			if n := l.counters.Drops.Get(string(c.reason)); n != 1 {
				t.Errorf("%d counted under %q", n, c.reason)
			}
			if _, err := there.Read(make([]byte, 1)); err != io.EOF {
				t.Errorf("the stream is left open: %v", err)
			}
		})
	}
}
