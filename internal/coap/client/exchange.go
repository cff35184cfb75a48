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
	// readBufferSize is the size of the largest datagram, in bytes.
	readBufferSize = 64 << 10

	// ackJitter is the largest fraction of the timeout that is added at random: ACK_RANDOM_FACTOR minus one.
	ackJitter = 0.5
)

// errReset is returned if the server rejects a message with a reset.
var errReset = errors.New("reset")

// interruptReads interrupts the current read and all later reads when the context ends, until stop is called. After
// stop, only the caller sets the socket's read deadline again.
//
// The context's deadline is not set on the socket, because the two timers can fire in either order. A read could end
// at the socket's deadline before the context is done, and the timeout would be mistaken for a missing response.
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

// exchange sends a message, retransmits it with the standard's timeouts until it is acknowledged, and waits for its
// response.
func (c *Client) exchange(ctx context.Context, m message.Message) (*message.Message, error) {
	datagram, err := wire.Encode(m)
	if err != nil {
		return nil, err
	}
	defer c.interruptReads(ctx)()
	timeout := time.Duration(float64(c.options.AckTimeout) * (1 + rand.Float64()*ackJitter))
	acknowledged := false
	for retransmits := 0; ; retransmits++ {
		mayTransmit := m.Type == wire.Con || retransmits == 0
		if mayTransmit && !acknowledged {
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

// write sends a datagram and the configured number of additional copies.
func (c *Client) write(datagram []byte) error {
	for range c.options.Duplicates + 1 {
		if _, err := c.conn.WriteTo(datagram, c.server); err != nil {
			return err
		}
	}
	return nil
}

// await reads until the response to a message arrives, and returns nil if the deadline passes first. It also reports
// whether the message was acknowledged in the meantime. If the context ends first, its error is returned;
// interruptReads must be active for that.
func (c *Client) await(ctx context.Context, m *message.Message, deadline time.Time) (response *message.Message, acknowledged bool, err error) {
	buffer := make([]byte, readBufferSize)
	for {
		_ = c.conn.SetReadDeadline(deadline)
		if ctx.Err() != nil { // the deadline set above may have overwritten that of interruptReads
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
		incoming, err := wire.Decode(bytes.Clone(buffer[:n]))
		if err != nil {
			continue
		}
		switch {
		case incoming.Type == wire.Rst && incoming.MessageID == m.MessageID:
			return nil, acknowledged, errReset
		case incoming.Code == codes.Empty && incoming.Type == wire.Ack && incoming.MessageID == m.MessageID:
			acknowledged = true
		case incoming.Code != codes.Empty && bytes.Equal(incoming.Token, m.Token):
			if incoming.Type == wire.Con {
				_ = c.write(wire.Empty(wire.Ack, uint16(incoming.MessageID)))
			}
			return &incoming, acknowledged, nil
		case incoming.Type == wire.Con: // a response to an exchange that has ended
			_ = c.write(wire.Empty(wire.Rst, uint16(incoming.MessageID)))
		}
	}
}

// isTimeout reports whether a read ended at its deadline.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
