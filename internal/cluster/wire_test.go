package cluster

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"reflect"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/counters"
	"tackhub.example/tackhub/internal/membership"
	"tackhub.example/tackhub/internal/overload"
	"tackhub.example/tackhub/internal/quota"
)

// The files under testdata contain messages and statuses encoded by a released version. Nodes of different versions run in one cluster,
// so the encoding must not change.

const wireCluster = "tackhub"

// readTestdata returns the content of a file under testdata.
func readTestdata(t *testing.T, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile("testdata/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// newTestLink returns a link that has joined a cluster with one other member. Its core was created at time 0, and its goroutines are not
// started.
func newTestLink(t *testing.T) *link {
	t.Helper()
	l := &link{options: Options{Cluster: wireCluster, QuotaMembers: map[string]string{"n1": "10.0.0.1:7946", "n2": "10.0.0.2:7946"}, Overload: true},
		node: &fakeNode{name: "n1", number: 4}, name: "n1", log: slog.New(slog.DiscardHandler), counters: &counters.Cluster{}, epoch: time.Now()}
	l.core = membership.New(membership.Options{Name: "n1", Address: "10.0.0.1:7946", ClusterHash: uint32(xxhash.Sum64String(wireCluster)), Generation: 11, RandSeed: 1,
		ProbeInterval: 250 * time.Millisecond, ProbeTimeout: 150 * time.Millisecond, SuspicionTimeout: 2500 * time.Millisecond, MaxMembers: 8}, 0)
	l.core.Receive(0, &membership.Message{Kind: membership.SyncReply, Version: 1, ClusterHash: uint32(xxhash.Sum64String(wireCluster)),
		From: "n2", Generation: 12, Address: "10.0.0.2:7946"})
	if l.core.State() != membership.Alive {
		t.Fatalf("state of the core = %v, want Alive", l.core.State())
	}
	l.core.TakeOutput()
	l.quota, l.overload = newQuotaAgent(l), newOverloadAgent(l)
	return l
}

// onlyOutgoingMessage returns the pending outgoing message. The test fails if there is not exactly one.
func onlyOutgoingMessage(t *testing.T, l *link) membership.Message {
	t.Helper()
	out, _ := l.core.TakeOutput()
	if len(out) != 1 {
		t.Fatalf("%d outgoing messages, want 1: %+v", len(out), out)
	}
	return out[0].Message
}

func TestQuotaMessagesMatchReleasedVersion(t *testing.T) {
	l := newTestLink(t)
	l.quota.allocator = quota.New(quota.Options{Name: "n1", Members: l.options.QuotaMembers, Generation: 11, LeaseTTL: time.Second}, -time.Hour)
	l.quota.allocator.MemberSeen(0, "n2", 12, "10.0.0.2:7946")
	l.quota.allocator.Tick(time.Second)
	l.quota.flush()
	checkEncoding(t, "renew.msgpack", onlyOutgoingMessage(t, l))
	l.quota.allocator.Receive(time.Second, quota.IncomingMessage{Kind: quota.Renew, From: "n2", Generation: 12, Address: "10.0.0.2:7946",
		ForGeneration: 11, Seq: 3, MembersHash: l.quota.membersHash})
	l.quota.flush()
	checkEncoding(t, "grant.msgpack", onlyOutgoingMessage(t, l))
}

// checkEncoding fails the test if the encoding of a message differs from a file under testdata.
func checkEncoding(t *testing.T, file string, m membership.Message) {
	t.Helper()
	raw, err := m.MarshalMsg(nil)
	if want := readTestdata(t, file); err != nil || !bytes.Equal(raw, want) {
		t.Errorf("%s: encoding = %x, want %x; error %v", file, raw, want, err)
	}
}

func TestLoadMessagesMatchReleasedVersion(t *testing.T) {
	l := newTestLink(t)
	for second := range time.Duration(2) {
		l.overload.controller.Observe((second+1)*time.Second, (second+1)*time.Second, overload.Counts{Shed: uint64(second), Attempts: 30, Successes: 20,
			Requested: []uint64{40 + uint64(second)}, Accepted: []uint64{30}})
	}
	l.overload.controller.Decide(2*time.Second, []string{"n1", "n2"})
	l.overload.sendReports(2 * time.Second)
	m := onlyOutgoingMessage(t, l)
	checkEncoding(t, "loads.msgpack", m)

	other := newTestLink(t)
	other.name = "n3"
	m.From = "n2"
	other.overload.receive(&m)
	other.overload.controller.Decide(other.now(), []string{"n1"})
	if got := other.overload.controller.NextSummaries(other.now(), 1); len(got) != 1 || got[0].Name != "n1" || got[0].Generation != 11 || got[0].CountedAt != 2*time.Second ||
		!reflect.DeepEqual(got[0].Counts, overload.Counts{Shed: 1, Attempts: 30, Successes: 20, Requested: []uint64{41}, Accepted: []uint64{30}}) {
		t.Errorf("summaries after receiving the report = %+v, want the counts of n1 at 2s", got)
	}
}

// A message on a stream must follow a prefix of four bytes with its length.
func TestStreamMessagesMatchReleasedVersion(t *testing.T) {
	l := newTestLink(t)
	hello := l.core.WithSender(membership.Message{Kind: membership.LivenessStream})
	var buffer bytes.Buffer
	want := readTestdata(t, "liveness.stream")
	if n, err := writeMessage(&buffer, hello); err != nil || n != len(want) || !bytes.Equal(buffer.Bytes(), want) {
		t.Errorf("wrote %x, want %x; error %v", buffer.Bytes(), want, err)
	}
	raw, err := readMessage(bytes.NewReader(want))
	if err != nil {
		t.Fatal(err)
	}
	if got := l.parse(raw, netip.MustParseAddr("10.0.0.1")); got == nil || !reflect.DeepEqual(*got, hello) {
		t.Errorf("read %+v, want %+v", got, hello)
	}
}

func TestDatagramsMatchReleasedVersion(t *testing.T) {
	l := newTestLink(t)
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	l.udp = conn // the link sends to its own socket
	broadcast := l.core.WithSender(membership.Message{Kind: membership.Broadcast, Node: 4, Body: []byte("body")})
	l.writeDatagram(membership.OutgoingMessage{Address: conn.LocalAddr().String(), Message: broadcast})
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	buffer := make([]byte, membership.MaxDatagramBytes)
	n, err := conn.Read(buffer)
	if want := readTestdata(t, "broadcast.datagram"); err != nil || !bytes.Equal(buffer[:n], want) {
		t.Fatalf("sent %x, want %x; error %v", buffer[:n], want, err)
	}
	if got := l.parse(buffer[:n], netip.MustParseAddr("127.0.0.1")); got == nil || !reflect.DeepEqual(*got, broadcast) {
		t.Errorf("read %+v, want %+v", got, broadcast)
	}
}

// fullStatus is a status with all fields set.
var fullStatus = Status{
	Status: membership.Status{Name: "n1", Generation: 11, Incarnation: 2, State: membership.Alive, Connectivity: membership.InboundLost, LocalHealth: 3, RejectedMembers: 4,
		View: membership.View{Number: 5, Members: []string{"n1", "n2"}},
		Members: []membership.Member{{Name: "n2", Address: "10.0.0.2:7946", Generation: 12, Incarnation: 1, State: membership.Suspect, StateAge: 100, SinceReceived: 200,
			SinceAcked: 300, SinceSeen: 400, Link: "one-way", OwnConnectivity: membership.OutboundLost, SuspectedBy: map[string]int64{"n3": 1}, HeardBy: map[string]int64{"n4": 2},
			LossCount: 3, DampedFor: 4, PreviousGeneration: 5}}},
	Quota: &QuotaStatus{Status: quota.Status{Fraction: 0.25, Members: 4, UnitsLeased: 3, UnitsOfEndedLessors: 2, LapsedLessors: []string{"n2"}, InheritedFrom: []string{"n3"}},
		Allocations: []AllocationRecord{{EffectiveFrom: 1, Fraction: 0.25, ValidUntil: 2, FractionAfter: 0.125}}},
	Overload: &OverloadStatus{Active: true, Requested: map[string]float64{"look": 10}, Accepted: map[string]float64{"look": 9}, Admit: map[string]float64{"look": 0.9},
		Limit: 9, Members: 2, Coverage: 1, FailureRatio: 0.1, RetryBudget: 0.5, Duration: 700},
}

// A version of `tackhub members` that differs from the node's must be able to read the status from the local socket.
func TestStatusMatchesReleasedVersion(t *testing.T) {
	want := readTestdata(t, "status.json")
	var buffer bytes.Buffer
	if err := json.NewEncoder(&buffer).Encode(fullStatus); err != nil || !bytes.Equal(buffer.Bytes(), want) {
		t.Errorf("wrote %s, want %s; error %v", buffer.Bytes(), want, err)
	}
	var got Status
	if err := json.Unmarshal(want, &got); err != nil || !reflect.DeepEqual(got, fullStatus) {
		t.Errorf("read %+v, want %+v; error %v", got, fullStatus, err)
	}
}

// The largest gossip message of the balancer must fit into one datagram, including the fields that the link adds.
func TestLargestGossipMessageFitsDatagram(t *testing.T) {
	l := newTestLink(t)
	message := l.core.WithSender(membership.Message{Kind: membership.Broadcast, Node: 4, Body: make([]byte, balancer.MaxGossipBytes)})
	raw, err := message.MarshalMsg(nil)
	if err != nil || len(raw) > membership.MaxDatagramBytes {
		t.Errorf("encoded message has %d bytes, want at most %d; error %v", len(raw), membership.MaxDatagramBytes, err)
	}
}
