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

	// maxDownloadRestarts is how often the blocks of a response are fetched anew because the resource has changed. The attempt's time ends
	// a download earlier if the resource keeps changing.
	maxDownloadRestarts = 3

	// arrivalBuffer is the maximum number of unread arrivals of an exchange: an acknowledgement, the response, and one
	// repetition of each.
	arrivalBuffer = 4
)

// The reasons why an exchange ends without a usable response.
var (
	errRejected     = errors.New("the server rejected the message")                 // the request has not run
	errReset        = errors.New("the server reset the exchange")                   // the request may have run
	errPortClosed   = errors.New("no process listens on the address")               // the request may have run
	errCodeMismatch = errors.New("the blocks of the response have different codes") // the request has run
	// The server has enacted a part of the request alone (RFC 7959, 2.3), or expects more than the whole. The request may have run.
	errPartialUpload = errors.New("the server has not taken the whole body of the request")
	errPanic         = errors.New("a panic ended the attempt")                    // the request may have run if it was written
	errNoResponse    = errors.New("no response before the attempt was cancelled") // the request may have run
)

// outgoingMessage is a message of a request before it has an id and a token.
type outgoingMessage struct {
	message.Message
	// attempt is the attempt whose request the message belongs to. nil: the request has been answered, and the message fetches a
	// later block of the response.
	attempt *attempt
	// blocksLeft is the number of blocks of the request that follow this message. Without any the message completes the request.
	blocksLeft int
}

// completes reports whether the server has the complete request once it has received the message.
func (m outgoingMessage) completes() bool { return m.attempt != nil && m.blocksLeft == 0 }

// mayWrite returns nil if the message may be written now, for the first time or again. Otherwise it returns the reason why the request
// must not be completed any longer, or cannot be completed in time: each block that is left takes a round trip.
func (c *serverConn) mayWrite(m outgoingMessage) error {
	if m.attempt == nil {
		return nil
	}
	roundTrip := c.shortestRoundTrip()
	delay := time.Duration(m.blocksLeft)*roundTrip + roundTrip/2
	if m.completes() {
		return m.attempt.transmission.Commit(m.attempt.address, delay)
	}
	return m.attempt.transmission.Check(m.attempt.address, delay)
}

// sendRequest sends a request, in blocks if its body is long (RFC 7959), and returns the response with its complete
// body.
func (c *serverConn) sendRequest(ctx context.Context, request message.Message, body []byte, a *attempt) (message.Message, []byte, error) {
	response, err := c.sendBody(ctx, request, body, a)
	if err != nil {
		return response, nil, err
	}
	return c.fetchBody(ctx, request, response)
}

// sendBody sends a request with its body. It returns the response to the last block, or to the first block that the
// server did not accept. A success of a part of the body, and a Continue after the whole of it, is errPartialUpload.
func (c *serverConn) sendBody(ctx context.Context, request message.Message, body []byte, a *attempt) (message.Message, error) {
	blockSize := blocks.Block{SZX: blocks.MaxSZX}.Size()
	for number := uint32(0); ; number++ {
		payload, block, ok := blocks.Block{Num: number, SZX: blocks.MaxSZX}.Slice(body)
		if !ok {
			return message.Message{}, errRejected
		}
		blockRequest := outgoingMessage{Message: request, attempt: a}
		blockRequest.Payload = payload
		if len(body) > blockSize {
			blockRequest.Options = withBlock(request.Options, message.Block1, block)
			blockRequest.blocksLeft = (len(body)-1)/blockSize - int(number)
		}
		started := time.Now()
		response, err := c.exchange(ctx, blockRequest)
		switch {
		case err != nil:
			return response, err
		case wire.Class(response.Code) == wire.ClassSuccess && block.More != (response.Code == codes.Continue):
			return response, errPartialUpload
		case response.Code != codes.Continue:
			return response, nil
		}
		c.recordRoundTrip(time.Since(started)) // a server sends a Continue without processing the request
	}
}

// fetchBody fetches the blocks of a response that follow its first block. It returns an error if the blocks do not
// form a complete body. If the resource changes meanwhile, a GET is fetched anew from its first block (RFC 7959, 2.4).
func (c *serverConn) fetchBody(ctx context.Context, request, firstResponse message.Message) (message.Message, []byte, error) {
	for restarts := 0; ; restarts++ {
		body, err := c.fetchVersion(ctx, request, firstResponse)
		mayRestart := request.Code == codes.GET && restarts < maxDownloadRestarts
		if !errors.Is(err, blocks.ErrVersionChanged) || !mayRestart {
			return firstResponse, body, err
		}
		firstBlock := blocks.Block{SZX: blocks.MaxSZX}
		response, err := c.fetchBlock(ctx, request, firstBlock)
		if err != nil {
			return firstResponse, nil, err
		}
		firstResponse = response
	}
}

// fetchVersion fetches the blocks that follow the first block of a response, all of one version of the resource.
func (c *serverConn) fetchVersion(ctx context.Context, request, firstResponse message.Message) ([]byte, error) {
	download := blocks.Download{Limit: maxBody}
	response := firstResponse
	for {
		block, present, err := wire.Block(&response, message.Block2)
		if err != nil {
			return nil, err
		}
		etag, _ := wire.Bytes(&response, message.ETag)
		if err := download.CheckVersion(etag); err != nil {
			return nil, err
		}
		if err := download.Add(block, present, response.Payload); err != nil {
			return nil, err
		}
		next, more := download.Next()
		if !more {
			return download.Body(), nil
		}
		response, err = c.fetchBlock(ctx, request, next)
		if err != nil {
			return nil, err
		}
		if response.Code != firstResponse.Code {
			return nil, errCodeMismatch
		}
	}
}

// fetchBlock requests a block of the response to a request that has run.
func (c *serverConn) fetchBlock(ctx context.Context, request message.Message, block blocks.Block) (message.Message, error) {
	blockRequest := outgoingMessage{Message: request}
	blockRequest.Options = withBlock(request.Options, message.Block2, block)
	response, err := c.exchange(ctx, blockRequest)
	if errors.Is(err, errRejected) { // the server no longer has the response, but it has run the request
		err = errReset
	}
	return response, err
}

// withBlock returns the options with a block option added. The passed options are not modified.
func withBlock(options message.Options, id message.OptionID, block blocks.Block) message.Options {
	return wire.AddUint(options[:len(options):len(options)], id, block.Value())
}

// exchange sends one confirmable message with a new message id and token, and waits for its response.
func (c *serverConn) exchange(ctx context.Context, m outgoingMessage) (message.Message, error) {
	arrivals := make(chan arrival, arrivalBuffer)
	id, token := c.registerExchange(arrivals)
	defer c.unregister(id, token)
	m.Type = wire.Con
	m.MessageID = int32(id)
	m.Token = token
	datagram, err := wire.Encode(m.Message)
	if err != nil {
		return m.Message, errRejected
	}
	if err := c.mayWrite(m); err != nil {
		return m.Message, err
	}
	return c.transmit(ctx, m, datagram, arrivals)
}

// transmit sends a message, retransmits it until it is acknowledged or answered, and waits for the response.
func (c *serverConn) transmit(ctx context.Context, m outgoingMessage, datagram []byte, arrivals chan arrival) (message.Message, error) {
	started := time.Now()
	timeout := time.Duration(float64(ackTimeout) * (1 + rand.Float64()*ackJitter))
	retransmit := time.NewTimer(timeout)
	defer retransmit.Stop()
	copies := 1
	if _, err := c.socket.Write(datagram); errors.Is(err, syscall.ECONNREFUSED) {
		_, _ = c.socket.Write(datagram) // the error was caused by an earlier datagram, and this one was not sent
	}
	if m.completes() {
		m.attempt.transmission.Request.NotifyWritten()
	}
	for {
		select {
		case received := <-arrivals:
			switch {
			case received.portClosed:
				return received.message, errPortClosed
			case received.message.Type == wire.Rst && copies > 1: // by another process than the one that got an earlier copy
				return received.message, errReset
			case received.message.Type == wire.Rst:
				return received.message, errRejected
			case received.message.Code == codes.Empty: // acknowledged; a separate response follows
				retransmit.Stop()
				continue
			}
			return received.message, nil
		case <-retransmit.C:
			if copies > maxRetransmit || time.Since(started) > c.retransmitWindow {
				continue // no more retransmissions; the context ends the exchange
			}
			if err := c.mayWrite(m); err != nil {
				if m.completes() {
					continue // an earlier copy may have arrived; the context ends the exchange
				}
				return message.Message{}, err
			}
			copies++
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
