package front

import (
	"net"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"tackhub.example/tackhub/internal/coap/dedup"
	"tackhub.example/tackhub/internal/coap/wire"
)

// handleDatagram handles one received datagram without waiting for the request's handler. A panic is logged and
// counted, and ends only the handling of this datagram.
func (s *Server) handleDatagram(datagram []byte, from net.Addr) {
	defer func() {
		if p := recover(); p != nil {
			s.options.Count.Panics.Inc()
			s.options.Log.Error("panic while handling a datagram", "code", "coap_panic", "panic", p)
		}
	}()
	s.options.Count.Datagrams.Inc()
	header, err := wire.ParseHeader(datagram)
	if err != nil {
		s.options.Count.Drops.Inc(string(dropInvalid))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.limiter.allow(s.now(), addressPrefix(from)) {
		s.countDrop(dropRate)
		return
	}
	key := dedup.Key{Endpoint: from.String(), ID: header.ID}
	switch {
	case header.Type == wire.Ack || header.Type == wire.Rst:
		s.stopRetransmission(key)
	case header.Type == wire.Con && header.Code == codes.Empty:
		s.options.Count.Pings.Inc()
		s.send(wire.Empty(wire.Rst, header.ID), from)
	case header.Code == codes.Empty || wire.Class(header.Code) != wire.ClassRequest:
		s.rejectMessage(header, from, dropNoRequest)
	default:
		m, err := wire.Decode(datagram)
		if err != nil {
			s.rejectMessage(header, from, dropBadMessage)
			return
		}
		s.handleRequest(&m, key, datagram, from)
	}
}

// handleRequest starts a new request or answers a retransmission. The caller holds the lock.
func (s *Server) handleRequest(m *message.Message, key dedup.Key, datagram []byte, from net.Addr) {
	r := &request{
		server:       s,
		message:      m,
		key:          key,
		from:         from,
		datagramSize: len(datagram),
		confirmable:  m.Type == wire.Con,
	}
	// The exchange is looked up before anything is rejected: a rejection of a request that runs, or has run, would make its
	// device send it to another node.
	verdict, stored, acknowledged := s.exchanges.Receive(s.now(), dedup.Message{
		Key:         key,
		Confirmable: r.confirmable,
		Idempotent:  m.Code == codes.GET,
		Fingerprint: dedup.Fingerprint(datagram),
	})
	switch verdict {
	case dedup.InProgress:
		s.options.Count.Joined.Inc()
		if acknowledged && r.confirmable {
			s.send(wire.Empty(wire.Ack, key.ID), from)
		}
	case dedup.Replay:
		s.options.Count.Replayed.Inc()
		s.lastAnswered = s.now()
		s.replay(stored, key, from, r.confirmable)
	case dedup.TableFull:
		r.refuseUnstored(refusalTableFull, "too much is remembered")
	case dedup.Refused:
		r.refuseUnstored(refusalRepeated, "refused before")
	case dedup.Ignore:
		s.countDrop(dropRefusalsFull)
	case dedup.EndpointFull:
		r.refuseUnstored(refusalEndpointFull, "too much is remembered")
	default:
		r.accept()
	}
}

// replay sends a stored response again. A separate response is preceded by an empty acknowledgement. If the response
// could not be stored, a confirmable request gets only the acknowledgement.
func (s *Server) replay(stored []byte, key dedup.Key, from net.Addr, confirmable bool) {
	inAcknowledgement := len(stored) > 0 && wire.TypeOf(stored) == wire.Ack
	if confirmable && !inAcknowledgement {
		s.send(wire.Empty(wire.Ack, key.ID), from)
	}
	if len(stored) > 0 {
		s.send(stored, from)
	}
}
