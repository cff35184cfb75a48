package cluster

import (
	"encoding/json"
	"net"
	"net/netip"
	"testing"

	"github.com/cespare/xxhash/v2"

	"tackhub.example/tackhub/internal/membership"
)

// newFuzzLink returns a link that has joined a cluster, with or without its agents.
func newFuzzLink(t *testing.T, agents bool) *link {
	t.Helper()
	l := newTestLink(t)
	l.options.LeaseTTL = defaultOptions().LeaseTTL
	l.quota.peers = []string{"n2"}
	l.quota.tick() // creates the allocator
	if !agents {
		l.options.QuotaMembers = nil
		l.options.Overload = false
		l.quota = newQuotaAgent(l)
		l.overload = newOverloadAgent(l)
	}
	return l
}

// FuzzMessages checks that no input from another machine panics or leads to a status that cannot be encoded, with and without the
// link's agents. A link without a quota agent used to panic on a liveness stream.
func FuzzMessages(f *testing.F) {
	for kind := membership.Ping; kind <= membership.LoadReports; kind++ {
		m := membership.Message{Kind: kind, Version: 1, ClusterHash: uint32(xxhash.Sum64String(wireCluster)), From: "n2", Generation: 12,
			Address: "10.0.0.2:7946", ForGeneration: 11, Seq: 3, Target: "n1", Body: []byte("news"),
			Updates:     []membership.Update{{Name: "n3", State: membership.Alive, Generation: 5, Address: "10.0.0.3:7946"}},
			LoadReports: []membership.LoadReport{{Name: "n2", Generation: 12, At: 1 << 63, Age: 1 << 31, Attempts: 1 << 63, Counts: []uint64{1 << 63, 1}}}}
		raw, err := m.MarshalMsg(nil)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		for _, agents := range []bool{true, false} {
			l := newFuzzLink(t, agents)
			m := l.parse(raw, netip.MustParseAddr("10.0.0.2"))
			if m == nil {
				return
			}
			if m.Kind == membership.LivenessStream {
				watchEndedStream(t, l, m)
			}
			l.receive(inbound{message: m})
			l.core.Tick(l.now())
			l.quota.tick()
			l.overload.tick()
			l.core.TakeOutput()
			if _, err := json.Marshal(Status{Status: l.core.Status(), Quota: l.quota.status(), Overload: l.overload.status()}); err != nil {
				t.Errorf("agents %v: encoding the status failed: %v", agents, err)
			}
		}
	})
}

// watchEndedStream passes a liveness stream that has already ended to a link, and runs the call that the agent sends to the core's
// goroutine.
func watchEndedStream(t *testing.T, l *link, m *membership.Message) {
	t.Helper()
	conn, remote := net.Pipe()
	_ = remote.Close()
	l.coreCalls = make(chan func(), 1)
	l.quota.watchProcess(t.Context(), conn, m)
	select {
	case call := <-l.coreCalls:
		call()
	default:
	}
}
