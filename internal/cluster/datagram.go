package cluster

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"time"

	"tackhub.example/tackhub/internal/membership"
)

// readErrorPause keeps an error that persists, such as a lack of buffers, from taking a CPU.
const readErrorPause = time.Millisecond

// dropReason says why a message was not sent or not accepted. The values are keys of a counter.
type dropReason string

const (
	notDropped         dropReason = ""
	dropAccept         dropReason = "accept"  // a connection could not be accepted
	dropAddress        dropReason = "address" // the receiver has no usable address
	dropBroadcastsFull dropReason = "words_full"
	dropInboxFull      dropReason = "inbox_full"
	dropKind           dropReason = "kind"      // of a later version
	dropLiveness       dropReason = "lifeline"  // from a member with which this one divides no quota
	dropLivenessFull   dropReason = "lifelines" // too many of one member
	dropMalformed      dropReason = "malformed"
	dropMembersDiffer  dropReason = "shares_differ" // the sender divides the quota among other members
	dropNetwork        dropReason = "network"       // the sender's address is not in an accepted network
	dropNotOnStream    dropReason = "not_on_a_stream"
	dropOtherCluster   dropReason = "other_cluster"
	dropRate           dropReason = "rate"
	dropRead           dropReason = "read"
	dropStreamsFull    dropReason = "streams"
	dropTooLong        dropReason = "too_long"
	dropVersion        dropReason = "version"
	dropWrite          dropReason = "write"
)

// drop counts a message that is not sent or not accepted; the first of each reason is logged.
func (l *link) drop(reason dropReason) {
	l.counters.Drops.Inc(string(reason))
	if _, logged := l.loggedDrops.LoadOrStore(reason, true); !logged {
		l.log.Warn("a message of the cluster was dropped, further ones are only counted", "code", "cluster_drop", "reason", string(reason))
	}
}

// destination returns where a message goes: to the configured address of the member, or to the one that it advertises.
func (l *link) destination(out membership.OutgoingMessage) (address netip.AddrPort, ok bool) {
	if override, ok := l.addressOverrides[out.To]; ok && out.To != "" {
		return override, true
	}
	address, err := netip.ParseAddrPort(out.Address)
	return address, err == nil && address.Port() != 0
}

func (l *link) writeDatagram(out membership.OutgoingMessage) {
	to, ok := l.destination(out)
	if !ok {
		l.drop(dropAddress)
		return
	}
	raw, err := out.Message.MarshalMsg(nil)
	if err != nil || len(raw) > membership.MaxDatagramBytes {
		l.drop(dropTooLong)
		return
	}
	if _, err := l.udp.WriteToUDPAddrPort(raw, to); err != nil {
		l.drop(dropWrite)
		return
	}
	l.counters.Sent.Inc()
	l.counters.SentBytes.Add(int64(len(raw)))
}

// readDatagrams hands datagrams to the core until the socket is closed.
func (l *link) readDatagrams(ctx context.Context) {
	buffer := make([]byte, membership.MaxDatagramBytes+1) // one byte more, so that a longer one is noticed
	secondBegan := l.now()
	taken := 0 // in this second
	for {
		n, from, err := l.udp.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // such as a member's port that is closed: it concerns one datagram
			l.drop(dropRead)
			time.Sleep(readErrorPause)
			continue
		}
		if now := l.now(); now-secondBegan >= time.Second {
			secondBegan = now
			taken = 0
		}
		taken++
		if taken > l.options.MaxMessageRate {
			l.drop(dropRate)
			continue
		}
		l.receiveDatagram(ctx, buffer[:n], from.Addr())
	}
}

func (l *link) receiveDatagram(ctx context.Context, raw []byte, from netip.Addr) {
	if len(raw) > membership.MaxDatagramBytes {
		l.drop(dropTooLong)
		return
	}
	l.counters.TakenBytes.Add(int64(len(raw)))
	m := l.parse(raw, from)
	if m == nil {
		return
	}
	switch m.Kind {
	case membership.SyncRequest, membership.SyncReply, membership.LivenessStream:
		l.drop(dropNotOnStream)
	default:
		l.post(ctx, inbound{message: m}, false)
	}
}

// post hands a message to the core. Where too many wait it is dropped, unless wait is set; a stream's message waits, since the
// number of streams is bounded.
func (l *link) post(ctx context.Context, in inbound, wait bool) bool {
	if wait {
		select {
		case l.inbox <- in:
			return true
		case <-ctx.Done():
			return false
		}
	}
	select {
	case l.inbox <- in:
		return true
	default:
		l.drop(dropInboxFull)
		return false
	}
}

// parse reads a message; nil if it is dropped.
func (l *link) parse(raw []byte, from netip.Addr) *membership.Message {
	m := &membership.Message{}
	rest, err := m.UnmarshalMsg(raw)
	switch {
	case !l.accepts(from):
		l.drop(dropNetwork)
	case err != nil || len(rest) > 0:
		l.drop(dropMalformed)
	case m.ClusterHash != clusterHash(l.options.Cluster):
		l.drop(dropOtherCluster)
	case m.MinVersion > membership.WireVersion:
		l.drop(dropVersion)
	case m.Kind < membership.Ping || m.Kind > membership.LoadReports:
		l.drop(dropKind)
	case !validMessage(m):
		l.drop(dropMalformed)
	default:
		l.counters.Taken.Inc()
		return m
	}
	return nil
}

func (l *link) accepts(from netip.Addr) bool {
	contains := func(network netip.Prefix) bool { return network.Contains(from.Unmap()) }
	return len(l.acceptNetworks) == 0 || slices.ContainsFunc(l.acceptNetworks, contains)
}

// validMessage reports whether the names and addresses of a message are such as a member would send.
func validMessage(m *membership.Message) bool {
	for _, u := range m.Updates {
		validReporter := u.Reporter == "" || validName(u.Reporter)
		if !validName(u.Name) || !validReporter || !validAddress(u.Address) {
			return false
		}
	}
	for _, r := range m.LoadReports {
		if !validName(r.Name) {
			return false
		}
	}
	validTarget := m.Target == "" || validName(m.Target)
	return validName(m.From) && validAddress(m.Address) && validTarget
}

// maxName bounds a member's name, which is part of a file's name and stands in every message.
const maxName = 48

// validName reports whether a text can be a member's name: letters, digits, and after the first also dots, dashes and underscores.
func validName(s string) bool {
	for i := range len(s) {
		c := s[i]
		alphanumeric := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		separator := c == '.' || c == '-' || c == '_'
		if !alphanumeric && (i == 0 || !separator) {
			return false
		}
	}
	return s != "" && len(s) <= maxName
}

// validAddress reports whether a text is an IP address with a port, or empty.
func validAddress(s string) bool {
	if s == "" {
		return true
	}
	address, err := netip.ParseAddrPort(s)
	return err == nil && address.Port() != 0
}
