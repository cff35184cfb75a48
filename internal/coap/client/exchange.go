package client

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"tackhub.example/tackhub/internal/coap/wire"
)

const (
	// readBufferSize is that of the largest datagram, in bytes.
	readBufferSize = 64 << 10

	// ackJitter is the share of the timeout that is added at random, at most: ACK_RANDOM_FACTOR less one.
	ackJitter = 0.5
)

// errReset says that the server rejected the message.
var errReset = errors.New("reset")

// interruptReads has the end of a context end a read that waits, and each one until stop is called. After stop the socket's deadline
// is the reader's own again.
//
// The context's deadline is not given to the socket: the two timers fire in any order, so a read that ends by the socket's deadline may
// find the context not done yet, and would take its end for the server's silence.
func (c *Client) interruptReads(ctx context.Context) (stop func()) {
	interrupted := make(chan struct{})
	undo := context.AfterFunc(ctx, func() {
		_ = c.conn.SetReadDeadline(time.Unix(0, 0))
		close(interrupted)
	})
	return func() {
		if !undo() {
			<-interrupted
		}
	}
}

// exchange sends a message, again by the standard's timeouts until it is acknowledged, and waits for its response.
func (c *Client) exchange(ctx context.Context, m message.Message) (*message.Message, error) {
	datagram, err := wire.Encode(m)
	if err != nil {
		return nil, err
	}
	defer c.interruptReads(ctx)()
	timeout := time.Duration(float64(c.options.AckTimeout) * (1 + rand.Float64()*ackJitter))
	acknowledged := false
	for retransmits := 0; ; retransmits++ {
		retransmittable := m.Type == wire.Con || retransmits == 0
		if retransmittable && !acknowledged {
			if err := c.write(datagram); err != nil {
				return nil, err
			}
		}
		response, acked, err := c.await(ctx, &m, time.Now().Add(timeout))
		if err != nil || response != nil {
			return response, err
		}
		acknowledged = acknowledged || acked
		if retransmits >= c.options.MaxRetransmit {
			return nil, ErrNoAnswer
		}
		timeout *= 2
	}
}

// write sends a datagram, with the duplicates that are asked for.
func (c *Client) write(datagram []byte) error {
	for range c.options.Duplicates + 1 {
		if _, err := c.conn.WriteTo(datagram, c.server); err != nil {
			return err
		}
	}
	return nil
}

// await reads until the response to a message comes, nil where the time is over before. It tells whether the message was
// acknowledged meanwhile. The error is the context's where that ends first: interruptReads must be in force.
func (c *Client) await(ctx context.Context, m *message.Message, until time.Time) (response *message.Message, acknowledged bool, err error) {
	buffer := make([]byte, readBufferSize)
	for {
		_ = c.conn.SetReadDeadline(until)
		if ctx.Err() != nil { // the interruption may have come before this deadline, which would undo it
			return nil, acknowledged, ctx.Err()
		}
		n, _, err := c.conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return nil, acknowledged, ctx.Err()
		}
		if err != nil {
			if isTimeout(err) {
				return nil, acknowledged, nil
			}
			return nil, acknowledged, err
		}
		c.Received++
		got, err := wire.Decode(bytes.Clone(buffer[:n]))
		if err != nil {
			continue
		}
		switch {
		case got.Type == wire.Rst && got.MessageID == m.MessageID:
			return nil, acknowledged, errReset
		case got.Code == codes.Empty && got.Type == wire.Ack && got.MessageID == m.MessageID:
			acknowledged = true
		case got.Code != codes.Empty && bytes.Equal(got.Token, m.Token):
			if got.Type == wire.Con {
				_ = c.write(wire.Empty(wire.Ack, uint16(got.MessageID)))
			}
			return &got, acknowledged, nil
		case got.Type == wire.Con: // of an exchange that is over
			_ = c.write(wire.Empty(wire.Rst, uint16(got.MessageID)))
		}
	}
}

// isTimeout reports whether a read ended by its deadline.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
