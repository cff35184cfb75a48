package cluster

import (
	"bytes"
	"log/slog"
	"net/netip"
	"testing"

	"github.com/cespare/xxhash/v2"

	"tackhub.example/tackhub/internal/counters"
	"tackhub.example/tackhub/internal/membership"
)

// Any host that can reach the port can send datagrams. Messages from other networks, of other clusters or later versions, or with
// invalid names must be dropped and counted under their reason.
func TestParseDropsForeignAndMalformedMessages(t *testing.T) {
	l := &link{options: Options{Cluster: "c"}, log: slog.New(slog.DiscardHandler), counters: &counters.Cluster{},
		acceptNetworks: []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}}
	inside, outside := netip.MustParseAddr("10.1.2.3"), netip.MustParseAddr("192.0.2.1")
	good := membership.Message{Kind: membership.Ping, Version: 1, ClusterHash: uint32(xxhash.Sum64String("c")), From: "n1", Generation: 1, Address: "10.1.2.3:1"}
	with := func(change func(*membership.Message)) membership.Message {
		m := good
		change(&m)
		return m
	}
	for _, c := range []struct {
		reason  string
		from    netip.Addr
		message membership.Message
	}{
		{"", inside, good},
		{"network", outside, good},
		{"other_cluster", inside, with(func(m *membership.Message) { m.ClusterHash++ })},
		{"version", inside, with(func(m *membership.Message) { m.MinVersion = membership.WireVersion + 1 })},
		{"kind", inside, with(func(m *membership.Message) { m.Kind = 200 })},
		{"malformed", inside, with(func(m *membership.Message) { m.From = "../n1" })},
		{"malformed", inside, with(func(m *membership.Message) { m.Address = "here" })},
		{"malformed", inside, with(func(m *membership.Message) { m.Updates = []membership.Update{{Name: "a b", State: membership.Alive}} })},
		{"malformed", inside, with(func(m *membership.Message) { m.LoadReports = []membership.LoadReport{{Name: ""}} })},
	} {
		raw, err := c.message.MarshalMsg(nil)
		if err != nil {
			t.Fatal(err)
		}
		before := l.counters.Drops.Get(c.reason)
		m := l.parse(raw, c.from)
		if (m != nil) != (c.reason == "") || c.reason != "" && l.counters.Drops.Get(c.reason) != before+1 {
			t.Errorf("drop reason %q: message = %v, counter = %d; want a message if the reason is empty, and otherwise nil and counter = %d",
				c.reason, m, l.counters.Drops.Get(c.reason), before+1)
		}
	}
	raw, _ := good.MarshalMsg(nil)
	if l.parse(append(raw, 0), inside) != nil || l.parse(raw[:len(raw)-1], inside) != nil {
		t.Error("a message with an extra or a missing byte was accepted, want it dropped")
	}
}

// A name becomes part of a file path, so it must not contain a path separator.
func TestValidName(t *testing.T) {
	for name, valid := range map[string]bool{"n1": true, "a.b-c_d": true, "": false, ".a": false, "a/b": false, "a b": false, "é": false,
		string(bytes.Repeat([]byte("a"), maxNameLength)): true, string(bytes.Repeat([]byte("a"), maxNameLength+1)): false} {
		if validName(name) != valid {
			t.Errorf("validName(%q) = %v, want %v", name, !valid, valid)
		}
	}
}
