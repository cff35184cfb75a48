package back

import (
	"context"
	"errors"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/coap/blocks"
	"tackhub.example/tackhub/internal/coap/wire"
)

const (
	// ackTimeout is the time before the first retransmission, without jitter. The standard's 2 s is meant for links of
	// unknown quality. These servers are on the operators' own network, and requests last a few hundred
	// milliseconds. RFC 7252, 4.8.1 allows changing the value.
	ackTimeout = 150 * time.Millisecond

	// ackJitter is the largest fraction of ackTimeout that is added at random: ACK_RANDOM_FACTOR minus one.
	ackJitter = 0.5

	// maxRetransmit is the maximum number of retransmissions of a message: MAX_RETRANSMIT.
	maxRetransmit = 4

	// arrivalBuffer is the maximum number of unread arrivals of an exchange: an acknowledgement, the response, and one
	// repetition of each.
	arrivalBuffer = 4
)

// The reasons why an exchange ends without a usable response.
var (
	errRejected     = errors.New("the server rejected the message")                 // the request has not run
	errPortClosed   = errors.New("no process listens on the address")               // the request may have run
	errCodeMismatch = errors.New("the blocks of the response have different codes") // the request has run
	errNoResponse   = errors.New("no response before the attempt was cancelled")    // the request may have run
)

// roundTrip sends a request, in blocks if its body is long (RFC 7959), and returns the response with its complete
// body.
func (c *serverConn) roundTrip(ctx context.Context, request message.Message, body []byte, a *attempt) (message.Message, []byte, error) {
	response, err := c.sendBody(ctx, request, body, a)
	if err != nil {
		return response, nil, err
	}
	return c.fetchBody(ctx, request, response)
}

// sendBody sends a request with its body. It returns the response to the last block, or to the first block that the
// server did not accept.
func (c *serverConn) sendBody(ctx context.Context, request message.Message, body []byte, a *attempt) (message.Message, error) {
	for number := uint32(0); ; number++ {
		payload, block, ok := blocks.Block{Num: number, SZX: blocks.MaxSZX}.Slice(body)
		if !ok {
			return message.Message{}, errRejected
		}
		blockRequest := request
		blockRequest.Payload = payload
		if len(body) > block.Size() {
			blockRequest.Options = withBlock(request.Options, message.Block1, block)
		}
		var writtenAttempt *attempt // nil unless this is the last block of the request
		if !block.More {
			writtenAttempt = a
		}
		response, err := c.exchange(ctx, blockRequest, writtenAttempt)
		if err != nil || response.Code != codes.Continue || !block.More {
			return response, err
		}
	}
}

// fetchBody fetches the blocks of a response that follow its first block. It returns an error if the blocks do not
// form a complete body.
func (c *serverConn) fetchBody(ctx context.Context, request, firstResponse message.Message) (message.Message, []byte, error) {
	download := blocks.Download{Limit: maxBody}
	response := firstResponse
	for {
		block, present, err := wire.Block(&response, message.Block2)
		if err != nil {
			return firstResponse, nil, err
		}
		if err := download.Add(block, present, response.Payload); err != nil {
			return firstResponse, nil, err
		}
		next, more := download.Next()
		if !more {
			return firstResponse, download.Body(), nil
		}
		blockRequest := request
		blockRequest.Options = withBlock(request.Options, message.Block2, next)
		response, err = c.exchange(ctx, blockRequest, nil)
		if err != nil {
			return firstResponse, nil, err
		}
		if response.Code != firstResponse.Code {
			return firstResponse, nil, errCodeMismatch
		}
	}
}

// withBlock returns the options with a block option added. The passed options are not modified.
func withBlock(options message.Options, id message.OptionID, block blocks.Block) message.Options {
	return wire.AddUint(options[:len(options):len(options)], id, block.Value())
}

// exchange sends one confirmable message with a new message id and token, and waits for its response. If the message is
// the last one of an attempt's request, writtenAttempt is that attempt, and is marked as written before the message is
// sent. Otherwise writtenAttempt is nil.
func (c *serverConn) exchange(ctx context.Context, m message.Message, writtenAttempt *attempt) (message.Message, error) {
	arrivals := make(chan arrival, arrivalBuffer)
	id, token := c.registerExchange(arrivals)
	defer c.unregister(id, token)
	m.Type = wire.Con
	m.MessageID = int32(id)
	m.Token = token
	datagram, err := wire.Encode(m)
	if err != nil {
		return m, errRejected
	}
	if writtenAttempt != nil {
		writtenAttempt.markWritten()
	}
	return c.transmit(ctx, datagram, arrivals)
}

// transmit sends a datagram, retransmits it until it is acknowledged or answered, and waits for the response.
func (c *serverConn) transmit(ctx context.Context, datagram []byte, arrivals chan arrival) (message.Message, error) {
	started := time.Now()
	timeout := time.Duration(float64(ackTimeout) * (1 + rand.Float64()*ackJitter))
	retransmit := time.NewTimer(timeout)
	defer retransmit.Stop()
	retransmits := 0
	if _, err := c.socket.Write(datagram); errors.Is(err, syscall.ECONNREFUSED) {
		_, _ = c.socket.Write(datagram) // the error was caused by an earlier datagram, and this one was not sent
	}
	for {
		select {
		case received := <-arrivals:
			switch {
			case received.portClosed:
				return received.message, errPortClosed
			case received.message.Type == wire.Rst:
				return received.message, errRejected
			case received.message.Code == codes.Empty: // acknowledged; a separate response follows
				retransmit.Stop()
				continue
			}
			return received.message, nil
		case <-retransmit.C:
			retransmits++
			if retransmits > maxRetransmit || time.Since(started) > c.retransmitWindow {
				continue // no more retransmissions; the context ends the exchange
			}
			c.count.Retransmits.Inc()
			_, _ = c.socket.Write(datagram)
			timeout *= 2
			retransmit.Reset(timeout)
		case <-ctx.Done():
			return message.Message{}, errNoResponse
		}
	}
}

// ping sends an empty confirmable message, which a live server answers with a reset.
func (c *serverConn) ping(within time.Duration) balancer.Outcome {
	arrivals := make(chan arrival, 1)
	id := c.registerPing(arrivals)
	defer c.unregister(id, nil)
	_, _ = c.socket.Write(wire.Empty(wire.Con, id))
	select {
	case received := <-arrivals:
		if received.portClosed {
			return balancer.Unreachable
		}
		return balancer.OK
	case <-time.After(within):
		return balancer.TimedOut
	}
}
