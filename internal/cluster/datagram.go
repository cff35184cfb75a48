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

// readErrorDelay is the delay after a read error. Without it, a persistent error such as a lack of buffers would use a whole CPU.
const readErrorDelay = time.Millisecond

// dropReason is the reason why a message was not sent or not accepted. The values are keys of a counter.
type dropReason string

const (
	notDropped             dropReason = ""
	dropAccept             dropReason = "accept"  // accepting a connection failed
	dropAddress            dropReason = "address" // the receiver has no valid address
	dropBroadcastsFull     dropReason = "words_full"
	dropInboxFull          dropReason = "inbox_full"
	dropUnknownKind        dropReason = "kind"      // message kind of a later version
	dropUnexpectedLiveness dropReason = "lifeline"  // liveness stream from a member that is not a quota peer
	dropLivenessFull       dropReason = "lifelines" // too many liveness streams from one member
	dropMalformed          dropReason = "malformed"
	dropMembersDiffer      dropReason = "shares_differ" // the sender has a different list of quota members
	dropNetwork            dropReason = "network"       // the sender's address is not in an accepted network
	dropNotOnStream        dropReason = "not_on_a_stream"
	dropOtherCluster       dropReason = "other_cluster"
	dropRate               dropReason = "rate"
	dropRead               dropReason = "read"
	dropStreamsFull        dropReason = "streams"
	dropTooLong            dropReason = "too_long"
	dropVersion            dropReason = "version"
	dropWrite              dropReason = "write"
)

// drop counts a message that is not sent or not accepted, and logs the first drop for each reason.
func (l *link) drop(reason dropReason) {
	l.counters.Drops.Inc(string(reason))
	if _, logged := l.loggedDrops.LoadOrStore(reason, true); !logged {
		l.log.Warn("dropped a cluster message; further drops for this reason are only counted", "code", "cluster_drop", "reason", string(reason))
	}
}

// destination returns the address to which a message is sent: the override configured for the member, or the address of the message,
// which the member advertises. ok is false if that address is not valid.
func (l *link) destination(out membership.OutgoingMessage) (address netip.AddrPort, ok bool) {
	if override, ok := l.addressOverrides[out.To]; ok && out.To != "" {
		return override, true
	}
	address, err := netip.ParseAddrPort(out.Address)
	return address, err == nil && address.Port() != 0
}

// writeDatagram sends a message as one datagram, or drops it.
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

// readDatagrams reads datagrams and queues their messages for the core until the socket is closed. It drops the datagrams that exceed
// MaxMessageRate within a second.
func (l *link) readDatagrams(ctx context.Context) {
	buffer := make([]byte, membership.MaxDatagramBytes+1) // one extra byte to detect longer datagrams
	secondStart := l.now()
	received := 0 // datagrams in the current second
	for {
		n, from, err := l.udp.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // such as an ICMP error for a closed port of a member; affects one datagram only
			l.drop(dropRead)
			time.Sleep(readErrorDelay)
			continue
		}
		if now := l.now(); now-secondStart >= time.Second {
			secondStart = now
			received = 0
		}
		received++
		if received > l.options.MaxMessageRate {
			l.drop(dropRate)
			continue
		}
		l.receiveDatagram(ctx, buffer[:n], from.Addr())
	}
}

// receiveDatagram parses one datagram and queues its message for the core. It drops kinds that are allowed on streams only.
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
		l.enqueue(ctx, inbound{message: m}, false)
	}
}

// enqueue queues a message for the core and reports whether it did. If the queue is full, enqueue blocks if wait is true, and
// otherwise drops the message. Messages from streams may wait, since the number of streams is limited.
func (l *link) enqueue(ctx context.Context, in inbound, wait bool) bool {
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

// parse decodes and checks a message. It returns nil if the message is dropped.
func (l *link) parse(raw []byte, from netip.Addr) *membership.Message {
	m := &membership.Message{}
	remaining, err := m.UnmarshalMsg(raw)
	switch {
	case !l.acceptsSender(from):
		l.drop(dropNetwork)
	case err != nil || len(remaining) > 0:
		l.drop(dropMalformed)
	case m.ClusterHash != clusterHash(l.options.Cluster):
		l.drop(dropOtherCluster)
	case m.MinVersion > membership.WireVersion:
		l.drop(dropVersion)
	case m.Kind < membership.Ping || m.Kind > membership.LoadReports:
		l.drop(dropUnknownKind)
	case !validMessage(m):
		l.drop(dropMalformed)
	default:
		l.counters.Taken.Inc()
		return m
	}
	return nil
}

// acceptsSender reports whether an address is in an accepted network. Without a list of networks all addresses are accepted.
func (l *link) acceptsSender(from netip.Addr) bool {
	contains := func(network netip.Prefix) bool { return network.Contains(from.Unmap()) }
	return len(l.acceptNetworks) == 0 || slices.ContainsFunc(l.acceptNetworks, contains)
}

// validMessage reports whether all names and addresses in a message are valid.
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

// maxNameLength is the maximum length of a member's name in bytes. The name is part of a file name and of every message.
const maxNameLength = 48

// validName reports whether s is a valid member name: 1 to maxNameLength letters and digits, and after the first character also dots,
// dashes and underscores.
func validName(s string) bool {
	for i := range len(s) {
		c := s[i]
		alphanumeric := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		separator := c == '.' || c == '-' || c == '_'
		if !alphanumeric && (i == 0 || !separator) {
			return false
		}
	}
	return s != "" && len(s) <= maxNameLength
}

// validAddress reports whether s is empty or an IP address with a nonzero port.
func validAddress(s string) bool {
	if s == "" {
		return true
	}
	address, err := netip.ParseAddrPort(s)
	return err == nil && address.Port() != 0
}
