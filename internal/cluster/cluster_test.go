package cluster

import (
	"bytes"
	"encoding/binary"
	"errors"
	"log/slog"
	"net/netip"
	"testing"

	"github.com/cespare/xxhash/v2"

	"tackhub.example/tackhub/internal/counters"
	"tackhub.example/tackhub/internal/membership"
)

// What comes from elsewhere, or is none of a member's words, is dropped under its reason.
func TestWhatIsNotTaken(t *testing.T) {
	l := &link{o: Options{Cluster: "c"}, log: slog.New(slog.DiscardHandler), count: &counters.Cluster{},
		accept: []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}}
	inside, outside := netip.MustParseAddr("10.1.2.3"), netip.MustParseAddr("192.0.2.1")
	good := membership.Message{Kind: membership.Ping, Version: 1, ClusterHash: uint32(xxhash.Sum64String("c")), From: "n1", Generation: 1, Address: "10.1.2.3:1"}
	with := func(change func(*membership.Message)) membership.Message {
		m := good
		change(&m)
		return m
	}
	for _, c := range []struct {
		reason string
		from   netip.Addr
		m      membership.Message
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
		raw, err := c.m.MarshalMsg(nil)
		if err != nil {
			t.Fatal(err)
		}
		before := l.count.Drops.Get(c.reason)
		m := l.parse(raw, c.from)
		if (m != nil) != (c.reason == "") || c.reason != "" && l.count.Drops.Get(c.reason) != before+1 {
			t.Errorf("%q: took %v, %d counted", c.reason, m, l.count.Drops.Get(c.reason))
		}
	}
	raw, _ := good.MarshalMsg(nil)
	if l.parse(append(raw, 0), inside) != nil || l.parse(raw[:len(raw)-1], inside) != nil {
		t.Error("a message with more or less than its bytes was taken")
	}
}

// A stream's claimed length takes no memory beyond the bound, and a broken one is an error.
func TestStreamsAreBounded(t *testing.T) {
	head := binary.BigEndian.AppendUint32(nil, streamMost+1)
	if _, err := readState(bytes.NewReader(head)); !errors.Is(err, errTooLong) {
		t.Errorf("read a claim of %d bytes: %v", streamMost+1, err)
	}
	if _, err := readState(bytes.NewReader(append(binary.BigEndian.AppendUint32(nil, 9), 1, 2))); err == nil {
		t.Error("half a state was read")
	}
	var b bytes.Buffer
	big := membership.Message{Updates: make([]membership.Update, 2000)}
	for i := range big.Updates {
		big.Updates[i] = membership.Update{Name: string(make([]byte, 200))}
	}
	if _, err := writeState(&b, big); !errors.Is(err, errTooLong) || b.Len() > 0 {
		t.Errorf("wrote %d bytes, %v", b.Len(), err)
	}
}

func TestNames(t *testing.T) {
	for name, good := range map[string]bool{"n1": true, "a.b-c_d": true, "": false, ".a": false, "a/b": false, "a b": false, "é": false,
		string(bytes.Repeat([]byte("a"), nameMost)): true, string(bytes.Repeat([]byte("a"), nameMost+1)): false} {
		if goodName(name) != good {
			t.Errorf("%q", name)
		}
	}
}
