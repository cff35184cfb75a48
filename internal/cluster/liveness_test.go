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

// A node without QuotaMembers has no quota agent, but while quotas are rolled out node by node, members with one open liveness streams
// to it. The node must drop such a stream and count it. It used to dereference the nil agent, which ended the process.
func TestLivenessStreamIsDroppedWithoutQuotaAgent(t *testing.T) {
	defer func() {
		if panicValue := recover(); panicValue != nil {
			t.Errorf("watchProcess on a nil agent panicked: %v", panicValue)
		}
	}()
	local, remote := net.Pipe()
	defer local.Close()
	defer remote.Close()
	go func() { _, _ = io.Copy(io.Discard, remote) }()
	var withoutQuotas *quotaAgent
	withoutQuotas.watchProcess(context.Background(), local, &membership.Message{Kind: membership.LivenessStream, From: "n1"})
}

// A member must close each liveness stream that it does not accept and count it under its reason, with and without a quota.
func TestRejectedLivenessStreamIsClosedAndCounted(t *testing.T) {
	quotaMembers := map[string]string{"n1": "10.0.0.1:7946", "n2": "10.0.0.2:7946"}
	for name, c := range map[string]struct {
		quotaMembers  map[string]string
		from, address string
		openStreams   int
		reason        dropReason
	}{
		"quota is off":           {nil, "n2", "10.0.0.2:7946", 0, dropUnexpectedLiveness},
		"not a quota member":     {quotaMembers, "n3", "10.0.0.3:7946", 0, dropUnexpectedLiveness},
		"another address":        {quotaMembers, "n2", "10.0.0.9:7946", 0, dropUnexpectedLiveness},
		"too many open streams":  {quotaMembers, "n2", "10.0.0.2:7946", maxLivenessStreams, dropLivenessFull},
		"this member's own name": {quotaMembers, "n1", "10.0.0.1:7946", 0, dropUnexpectedLiveness},
		"no address":             {quotaMembers, "n2", "", 0, dropUnexpectedLiveness},
	} {
		t.Run(name, func(t *testing.T) {
			l := &link{options: Options{Cluster: wireCluster, QuotaMembers: c.quotaMembers}, name: "n1", log: slog.New(slog.DiscardHandler),
				counters: &counters.Cluster{}, incomingStreams: make(chan struct{}, 1)}
			if l.quota = newQuotaAgent(l); l.quota != nil {
				l.quota.peers = []string{"n2"}
				l.quota.livenessByPeer["n2"] = c.openStreams
			}
			local, remote := net.Pipe()
			defer remote.Close()
			l.incomingStreams <- struct{}{}
			ended := make(chan struct{})
			go func() {
				l.serveStream(context.Background(), local)
				close(ended)
			}()
			m := membership.Message{Kind: membership.LivenessStream, Version: 1, ClusterHash: uint32(xxhash.Sum64String(wireCluster)),
				From: c.from, Generation: 12, Address: c.address}
			if _, err := writeMessage(remote, m); err != nil {
				t.Fatal(err)
			}
			<-ended
			if count := l.counters.Drops.Get(string(c.reason)); count != 1 {
				t.Errorf("drop counter = %d for reason %q, want 1", count, c.reason)
			}
			if _, err := remote.Read(make([]byte, 1)); err != io.EOF {
				t.Errorf("read from the rejected stream: %v, want EOF", err)
			}
		})
	}
}
