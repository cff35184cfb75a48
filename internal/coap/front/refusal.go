package front

import (
	"net"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/coap/blocks"
	"tackhub.example/tackhub/internal/coap/dedup"
	"tackhub.example/tackhub/internal/coap/echo"
	"tackhub.example/tackhub/internal/coap/wire"
)

// rejectionMaxAge is the Max-Age in seconds of the rejections that do not come from the handler.
const rejectionMaxAge = 2

// refusalReason is why the server rejects a request itself, without passing it to the handler.
type refusalReason string

// The reasons, as the counters name them.
const (
	refusalAmplification  refusalReason = "amplification"    // the response would be too long for an address that is not validated
	refusalBadRequest     refusalReason = "bad_request"      // the message cannot be converted to a request
	refusalBlockMissing   refusalReason = "block_missing"    // a block of the upload is missing
	refusalBodyTooLarge   refusalReason = "body_too_large"   // the upload exceeds maxBody
	refusalEcho           refusalReason = "echo"             // the address of an unsafe request is not validated
	refusalEnding         refusalReason = "ending"           // the server is closing
	refusalEndpointFull   refusalReason = "endpoint_full"    // the device is at its limit of stored exchanges
	refusalForeignEcho    refusalReason = "foreign_echo"     // the Echo value was issued by another process
	refusalInFlight       refusalReason = "too_many_open"    // too many requests are in flight
	refusalRepeated       refusalReason = "again"            // the same message was rejected before
	refusalTableFull      refusalReason = "table_full"       // too many exchanges are stored
	refusalTooManyUploads refusalReason = "too_many_uploads" // too many uploads are in progress
)

// dropReason is why the server drops a datagram.
type dropReason string

// The reasons, as the counters name them.
const (
	dropBadMessage   dropReason = "bad_message"   // a request that cannot be decoded
	dropInvalid      dropReason = "no_coap"       // not a CoAP message
	dropNoRequest    dropReason = "no_request"    // a message that is not a request
	dropRate         dropReason = "rate"          // its address prefix sends too many datagrams
	dropRefusalsFull dropReason = "refusals_full" // a rejection of it could not be remembered
)

// textResponse returns an error response with a diagnostic text, for a message that any copy would get again.
func textResponse(code codes.Code, text string) response {
	return response{code: code, body: []byte(text), retention: dedup.Evictable}
}

// unavailable returns the response of a rejection after which the device may send its request to another node.
func unavailable(text string) response {
	return response{code: codes.ServiceUnavailable, body: []byte(text), maxAge: rejectionMaxAge, retention: dedup.KeepRefusal}
}

// refuse rejects a request that is in the dedup table. The caller holds the lock.
func (r *request) refuse(reason refusalReason, answer response) {
	r.server.countRefusal(reason)
	r.respond(answer)
}

// refuseUnstored rejects a request that is not in the dedup table. The caller holds the lock.
func (r *request) refuseUnstored(reason refusalReason, text string) {
	r.server.countRefusal(reason)
	_, datagram := r.encode(unavailable(text))
	r.server.send(datagram, r.from)
}

// refuseBlock rejects a block of an upload. The caller holds the lock.
func (r *request) refuseBlock(verdict blocks.Verdict, block blocks.Block) {
	switch verdict {
	case blocks.Incomplete:
		r.refuse(refusalBlockMissing, response{code: codes.RequestEntityIncomplete, block1: &block, retention: dedup.KeepRefusal})
	case blocks.TooLarge:
		size := wire.AddUint(nil, message.Size1, maxBody)
		r.refuse(refusalBodyTooLarge, response{code: codes.RequestEntityTooLarge, block1: &block, options: size, retention: dedup.KeepRefusal})
	default:
		answer := unavailable("")
		answer.block1 = &block
		r.refuse(refusalTooManyUploads, answer)
	}
}

// admit reports whether the request may run. Idempotent requests may run without a valid Echo value; any other request
// without one is answered with a challenge.
func (r *request) admit(verdict echo.Verdict) bool {
	if verdict == echo.Valid || r.mapped.class.Idempotency == balancer.Idempotent {
		return true
	}
	if verdict == echo.Unknown {
		// The request may be a retransmission of one that ran at another node, or at this node before a restart. This
		// process cannot detect that, so its response must not mean that the request has not run. The device decides
		// whether to send a new request with the new value.
		answer := textResponse(codes.BadGateway, "may have run elsewhere")
		answer.options = r.challenge()
		r.refuse(refusalForeignEcho, answer)
		return false
	}
	r.refuse(refusalEcho, r.challengeResponse())
	return false
}

// challengeResponse returns a response that asks the device to prove its address with an Echo value.
func (r *request) challengeResponse() response {
	return response{code: codes.Unauthorized, options: r.challenge(), retention: dedup.Evictable}
}

// challenge returns an Echo option with a fresh value for the endpoint of the request.
func (r *request) challenge() message.Options {
	value := r.server.authenticator.Issue(r.server.now(), r.key.Endpoint)
	return message.Options{}.Add(message.Option{ID: message.Echo, Value: value})
}

// rejectMessage drops a message that is not a valid request. A confirmable message is answered with a reset (RFC 7252,
// 4.2).
func (s *Server) rejectMessage(header wire.Header, from net.Addr, reason dropReason) {
	s.countDrop(reason)
	if header.Type == wire.Con {
		s.send(wire.Empty(wire.Rst, header.ID), from)
	}
}
