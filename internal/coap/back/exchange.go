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
	// ackTimeout is when a message is sent again, before jitter. The standard's 2 s is for links that nobody knows; these
	// servers are on the operators' own network, and requests live for some hundred milliseconds (RFC 7252, 4.8.1 lets it
	// be set).
	ackTimeout = 150 * time.Millisecond

	// ackJitter is the share of ackTimeout that is added at random, at most: ACK_RANDOM_FACTOR less one.
	ackJitter = 0.5

	// maxRetransmit is how often a message is sent again: MAX_RETRANSMIT.
	maxRetransmit = 4

	// arrivalBuffer is how many messages may wait for an exchange: an acknowledgement, the response, and their duplicates.
	arrivalBuffer = 4
)

// How an exchange ends without a response.
var (
	errRejected   = errors.New("the server rejects the message")       // it has not run
	errPortClosed = errors.New("nobody listens at the address")        // it may have run
	errOtherCode  = errors.New("the response's blocks differ in code") // it has run
	errNoResponse = errors.New("no response")                          // it may have run
)

// roundTrip sends a request, block by block where its body is long (RFC 7959), and gives the response with its whole body.
func (c *serverConn) roundTrip(ctx context.Context, request message.Message, body []byte, a *attempt) (message.Message, []byte, error) {
	response, err := c.sendBody(ctx, request, body, a)
	if err != nil {
		return response, nil, err
	}
	return c.fetchBody(ctx, request, response)
}

// sendBody sends a request with its body, and gives the response to the last block or to one that the server did not accept.
func (c *serverConn) sendBody(ctx context.Context, request message.Message, body []byte, a *attempt) (message.Message, error) {
	for number := uint32(0); ; number++ {
		payload, block, ok := blocks.Block{Num: number, SZX: blocks.MaxSZX}.Slice(body)
		if !ok {
			return message.Message{}, errRejected
		}
		part := request
		part.Payload = payload
		if len(body) > block.Size() {
			part.Options = withBlock(request.Options, message.Block1, block)
		}
		var last *attempt // the one that the last block makes complete
		if !block.More {
			last = a
		}
		response, err := c.exchange(ctx, part, last)
		if err != nil || response.Code != codes.Continue || !block.More {
			return response, err
		}
	}
}

// fetchBody gathers the blocks of a response, of which the first has come. Blocks that do not make a whole body are an error.
func (c *serverConn) fetchBody(ctx context.Context, request, first message.Message) (message.Message, []byte, error) {
	download := blocks.Download{Limit: maxBody}
	response := first
	for {
		block, present, err := wire.Block(&response, message.Block2)
		if err != nil {
			return first, nil, err
		}
		if err := download.Add(block, present, response.Payload); err != nil {
			return first, nil, err
		}
		next, more := download.Next()
		if !more {
			return first, download.Body(), nil
		}
		part := request
		part.Options = withBlock(request.Options, message.Block2, next)
		response, err = c.exchange(ctx, part, nil)
		if err != nil {
			return first, nil, err
		}
		if response.Code != first.Code {
			return first, nil, errOtherCode
		}
	}
}

// withBlock gives options with a block option added, and leaves those that were passed as they are.
func withBlock(options message.Options, id message.OptionID, block blocks.Block) message.Options {
	return wire.AddUint(options[:len(options):len(options)], id, block.Value())
}

// exchange sends one confirmable message under a new id and token and waits for its response. Where the message makes an
// attempt's request complete, the attempt is passed, and marked before the message goes out.
func (c *serverConn) exchange(ctx context.Context, m message.Message, complete *attempt) (message.Message, error) {
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
	if complete != nil {
		complete.markWritten()
	}
	return c.transmit(ctx, datagram, arrivals)
}

// transmit sends a datagram, again until it is acknowledged or answered, and waits for the response.
func (c *serverConn) transmit(ctx context.Context, datagram []byte, arrivals chan arrival) (message.Message, error) {
	started := time.Now()
	timeout := time.Duration(float64(ackTimeout) * (1 + rand.Float64()*ackJitter))
	retransmit := time.NewTimer(timeout)
	defer retransmit.Stop()
	retransmits := 0
	if _, err := c.socket.Write(datagram); errors.Is(err, syscall.ECONNREFUSED) {
		_, _ = c.socket.Write(datagram) // the kernel reported an earlier datagram and did not send this one
	}
	for {
		select {
		case got := <-arrivals:
			switch {
			case got.portClosed:
				return got.message, errPortClosed
			case got.message.Type == wire.Rst:
				return got.message, errRejected
			case got.message.Code == codes.Empty: // acknowledged; a separate response follows
				retransmit.Stop()
				continue
			}
			return got.message, nil
		case <-retransmit.C:
			retransmits++
			if retransmits > maxRetransmit || time.Since(started) > c.retransmitWindow {
				continue // the context ends the exchange
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
	case got := <-arrivals:
		if got.portClosed {
			return balancer.Unreachable
		}
		return balancer.OK
	case <-time.After(within):
		return balancer.TimedOut
	}
}
