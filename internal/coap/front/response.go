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
	// maxAmplification is how many bytes an unproven address may be sent for one of its own. RFC 9175 and RFC 9000 both say
	// three.
	maxAmplification = 3

	// maxUnacknowledged bounds the separate responses that are sent again until they are acknowledged. Beyond it each is sent
	// once; a device that missed it repeats its request and gets the stored response.
	maxUnacknowledged = 1024
)

// response is a response before it is put into a message.
type response struct {
	code    codes.Code
	body    []byte
	maxAge  uint32 // seconds; 0: none
	block1  *blocks.Block
	options message.Options
	// harmless says that running the request again would do no harm, so that the stored response may be evicted.
	harmless bool
}

// textResponse is an error response with a diagnostic text.
func textResponse(code codes.Code, text string) response {
	return response{code: code, body: []byte(text), harmless: true}
}

// respond sends the final response and stores it for repeats. The caller holds the lock.
func (r *request) respond(answer response) {
	s := r.server
	answer = r.limitSize(answer)
	m := r.newMessage(answer)
	datagram, err := wire.Encode(m)
	if err != nil { // only by a defect in the options set here; the device must not be left without an answer
		s.options.Log.Error("a response cannot be encoded", "code", "coap_encode", "error", err)
		datagram = wire.Empty(wire.Rst, r.key.ID)
	}
	s.options.Count.Answers.Inc(fmt.Sprintf("%d.%02d", wire.Class(answer.code), wire.Detail(answer.code)))
	s.exchanges.Complete(r.key, datagram, answer.harmless)
	s.send(datagram, r.from)
	if m.Type == wire.Con {
		s.retransmit(datagram, uint16(m.MessageID), r.from)
	}
	r.acknowledged = true
}

// respondUnstored rejects a request that is not remembered. The caller holds the lock.
func (r *request) respondUnstored(code codes.Code, text string) {
	m := r.newMessage(response{code: code, body: []byte(text), maxAge: rejectionMaxAge})
	if datagram, err := wire.Encode(m); err == nil {
		r.server.send(datagram, r.from)
	}
}

// limitSize cuts a long response into a block, and replaces one that is much larger than the request by a challenge where the
// address is unproven: a forged address must not be flooded with what is sent in its name.
func (r *request) limitSize(answer response) response {
	answer = r.cutBlock(answer)
	amplifies := len(answer.body) > maxAmplification*r.datagramSize
	if amplifies && !r.server.proven.contains(r.server.now(), r.key.Endpoint) {
		r.server.options.Count.Refused.Inc("amplification")
		return response{code: codes.Unauthorized, options: r.challenge(), harmless: true}
	}
	return answer
}

// cutBlock cuts the block that was asked for from a response's body, the first where none was. A body with further blocks is
// stored for their requests.
func (r *request) cutBlock(answer response) response {
	asked, present, err := wire.Block(r.message, message.Block2)
	if err != nil || !present {
		asked = blocks.Block{SZX: blocks.MaxSZX}
	}
	isLong := len(answer.body) > asked.Size()
	wantsBlock := present && len(answer.body) > 0
	if !isLong && !wantsBlock {
		return answer
	}
	if isLong && asked.Num == 0 {
		r.server.downloads.Put(r.server.now(), r.transferKey(), answer.body)
	}
	part, block, ok := asked.Slice(answer.body)
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

// newMessage puts a response into a message: the acknowledgement where the request still needs one, else a separate message,
// confirmable as the request was. The caller holds the lock.
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

// retransmit sends a separate response again until it is acknowledged. The caller holds the lock.
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

// stopRetransmission notes the acknowledgement or the reset of a separate response. The caller holds the lock.
func (s *Server) stopRetransmission(key dedup.Key) {
	acknowledged := s.unacknowledged[key]
	if acknowledged == nil {
		return
	}
	delete(s.unacknowledged, key)
	close(acknowledged)
}
