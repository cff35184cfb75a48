package cluster

import (
	"encoding/json"
	"net"
	"net/netip"
	"testing"

	"github.com/cespare/xxhash/v2"

	"tackhub.example/tackhub/internal/membership"
)

// fuzzedLink is a link that has joined a cluster, with its agents or, where they are off, with none.
func fuzzedLink(t *testing.T, agents bool) *link {
	t.Helper()
	l := wireLink(t)
	l.options.LeaseTTL = defaultOptions().LeaseTTL
	l.quota.peers = []string{"n2"}
	l.quota.tick() // makes the allocator
	if !agents {
		l.options.QuotaMembers = nil
		l.options.Overload = false
		l.quota = newQuotaAgent(l)
		l.overload = newOverloadAgent(l)
	}
	return l
}

// FuzzMessages: whatever bytes another machine sends must neither end the process nor leave a status that cannot be told, whether the
// link's agents are on or off. A link without a quota agent once ended the process on a liveness stream.
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
			l := fuzzedLink(t, agents)
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
				t.Errorf("agents %v: the status cannot be told: %v", agents, err)
			}
		}
	})
}

// watchEndedStream hands a link a liveness stream that has ended already, and runs what the agent asks of the core's goroutine.
func watchEndedStream(t *testing.T, l *link, m *membership.Message) {
	t.Helper()
	here, there := net.Pipe()
	_ = there.Close()
	l.calls = make(chan func(), 1)
	l.quota.watchProcess(t.Context(), here, m)
	select {
	case call := <-l.calls:
		call()
	default:
	}
}
