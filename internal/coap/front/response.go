package front

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"tackhub.example/tackhub/internal/coap/blocks"
	"tackhub.example/tackhub/internal/coap/dedup"
	"tackhub.example/tackhub/internal/coap/wire"
)

// The transmission parameters of RFC 7252, 4.8.
const (
	ackTimeout      = 2 * time.Second
	ackRandomFactor = 1.5
	maxRetransmit   = 4
)

const (
	// maxAmplification bounds the size of a response to an address that is not validated, as a multiple of the size of
	// the request. RFC 9175 and RFC 9000 both specify three.
	maxAmplification = 3

	// maxUnacknowledged bounds the separate responses that are retransmitted until they are acknowledged. Beyond the
	// limit each is sent once; a device that misses it retransmits its request and gets the stored response.
	maxUnacknowledged = 1024
)

// response is a response that is not yet converted to a message.
type response struct {
	code    codes.Code
	body    []byte
	maxAge  uint32 // seconds; 0 if none
	block1  *blocks.Block
	options message.Options
	// retention is what may be forgotten of the exchange. The zero value is for a request that may have had an effect.
	retention dedup.Retention
}

// respond sends the final response and stores it for retransmissions of the request. The caller holds the lock.
func (r *request) respond(answer response) {
	s := r.server
	answer = r.limitSize(answer)
	m, datagram := r.encode(answer)
	s.options.Count.Answers.Inc(fmt.Sprintf("%d.%02d", wire.Class(answer.code), wire.Detail(answer.code)))
	s.exchanges.Complete(s.now(), r.key, datagram, answer.retention)
	s.send(datagram, r.from)
	if m.Type == wire.Con {
		s.retransmit(datagram, uint16(m.MessageID), r.from)
	}
	r.acknowledged = true
}

// encode returns the message of a response and its datagram. A response that cannot be encoded, which is a defect of this package, becomes
// an empty acknowledgement: a reset would say that the request has not run. The caller holds the lock.
func (r *request) encode(answer response) (message.Message, []byte) {
	m := r.newMessage(answer)
	datagram, err := wire.Encode(m)
	if err != nil {
		r.server.options.Log.Error("a response cannot be encoded", "code", "coap_encode", "error", err)
		return message.Message{Type: wire.Ack, MessageID: int32(r.key.ID)}, wire.Empty(wire.Ack, r.key.ID)
	}
	return m, datagram
}

// limitSize reduces a long response to one block. If the address is not validated and the response is much larger than
// the request, it is replaced with a challenge. Otherwise an attacker could flood a third party by sending requests
// with a forged source address.
func (r *request) limitSize(answer response) response {
	answer = r.cutBlock(answer)
	amplifies := len(answer.body) > maxAmplification*r.datagramSize
	if amplifies && !r.isValidated() {
		r.server.countRefusal(refusalAmplification)
		return r.challengeResponse()
	}
	return answer
}

// isValidated reports whether the address of the request is validated. A request with a valid Echo value stays validated until it is
// answered, even if other endpoints replace its own in the meantime: it may have had an effect, which a challenge would deny.
func (r *request) isValidated() bool {
	return r.validated || r.server.validated.contains(r.server.now(), r.key.Endpoint)
}

// cutBlock cuts the requested block, by default the first, from the body of a response. A body with further blocks is
// stored for the requests that fetch them.
func (r *request) cutBlock(answer response) response {
	requested, present, err := wire.Block(r.message, message.Block2)
	if err != nil || !present {
		requested = blocks.Block{SZX: blocks.MaxSZX}
	}
	isLong := len(answer.body) > requested.Size()
	wantsBlock := present && len(answer.body) > 0
	if !isLong && !wantsBlock {
		return answer
	}
	if isLong && requested.Num == 0 {
		r.server.downloads.Put(r.server.now(), r.transferKey(), answer.body)
	}
	part, block, ok := requested.Slice(answer.body)
	if !ok {
		return textResponse(codes.BadOption, "no such block")
	}
	etag := fnv.New64a()
	_, _ = etag.Write(answer.body) // a hash returns no error
	answer.options = answer.options.Add(message.Option{ID: message.ETag, Value: etag.Sum(nil)})
	answer.options = wire.AddUint(answer.options, message.Block2, block.Value())
	answer.options = wire.AddUint(answer.options, message.Size2, uint32(len(answer.body)))
	answer.body = part
	return answer
}

// newMessage builds the message of a response. If the request is confirmable and not yet acknowledged, the message is
// its acknowledgement. Otherwise it is a separate message, which is confirmable if the request is. The caller holds the
// lock.
func (r *request) newMessage(answer response) message.Message {
	m := message.Message{Token: r.message.Token, Code: answer.code, Payload: answer.body, Options: answer.options}
	if answer.maxAge > 0 {
		m.Options = wire.AddUint(m.Options, message.MaxAge, answer.maxAge)
	}
	if answer.block1 != nil {
		m.Options = wire.AddUint(m.Options, message.Block1, answer.block1.Value())
	}
	switch {
	case r.confirmable && !r.acknowledged:
		m.Type = wire.Ack
		m.MessageID = int32(r.key.ID)
	case r.confirmable:
		m.Type = wire.Con
		m.MessageID = int32(r.server.newMessageID())
	default:
		m.Type = wire.Non
		m.MessageID = int32(r.server.newMessageID())
	}
	return m
}

// retransmit retransmits a separate response until it is acknowledged. The caller holds the lock.
func (s *Server) retransmit(datagram []byte, id uint16, to net.Addr) {
	key := dedup.Key{Endpoint: to.String(), ID: id}
	if len(s.unacknowledged) >= maxUnacknowledged || s.unacknowledged[key] != nil {
		return
	}
	acknowledged := make(chan struct{})
	s.unacknowledged[key] = acknowledged
	go func() {
		timeout := time.Duration(float64(ackTimeout) * (1 + rand.Float64()*(ackRandomFactor-1)))
		for range maxRetransmit {
			select {
			case <-acknowledged:
				return
			case <-time.After(timeout):
			}
			s.mu.Lock()
			s.send(datagram, to)
			s.mu.Unlock()
			s.options.Count.Retransmits.Inc()
			timeout *= 2
		}
		s.mu.Lock()
		delete(s.unacknowledged, key)
		s.mu.Unlock()
	}()
}

// stopRetransmission ends the retransmission of a separate response that was acknowledged or reset. The caller holds
// the lock.
func (s *Server) stopRetransmission(key dedup.Key) {
	acknowledged := s.unacknowledged[key]
	if acknowledged == nil {
		return
	}
	delete(s.unacknowledged, key)
	close(acknowledged)
}
