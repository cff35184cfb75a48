package back

import (
	"bytes"
	"encoding/binary"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"tackhub.example/tackhub/internal/coap/wire"
	"tackhub.example/tackhub/internal/counters"
)

const (
	// readBufferSize is the size of the largest datagram, in bytes.
	readBufferSize = 64 << 10

	// readErrorBackoff is the pause after a failed read, so that a persistent error does not keep a core busy.
	readErrorBackoff = time.Millisecond

	// tokenLength is the length of the generated tokens in bytes.
	tokenLength = 6
)

// errTooManyExchanges is returned when the limit of exchanges with one server is reached.
var errTooManyExchanges = errors.New("too many exchanges in flight to the server")

// serverConn is the socket to one server. The socket is connected, so that the kernel reports (as ECONNREFUSED) that
// no process listens on the port.
type serverConn struct {
	socket           *net.UDPConn
	maxExchanges     int
	retransmitWindow time.Duration
	count            *counters.CoapServers
	log              *slog.Logger

	mu         sync.Mutex
	messageID  uint16
	token      uint64
	byToken    map[string]chan arrival // exchanges that wait for a response, by token
	byID       map[uint16]chan arrival // the same exchanges and pings, by message id
	reserved   int                     // number of reserved exchanges
	lastUsedAt time.Time
	roundTrip  time.Duration // the shortest time from a block of a request to its Continue; 0: not known
}

// arrival is an event for an exchange: a received message, or the report of the kernel that no process listens on the
// port.
type arrival struct {
	message    message.Message
	portClosed bool
}

// dial opens a socket to a server. The error is that of net.Dial.
func dial(address string, o Options) (*serverConn, error) {
	socket, err := net.Dial("udp", address)
	if err != nil {
		return nil, err
	}
	return &serverConn{
		socket:           socket.(*net.UDPConn),
		maxExchanges:     o.MaxExchanges,
		retransmitWindow: o.RetransmitWindow,
		count:            o.Count,
		log:              o.Log,
		messageID:        uint16(rand.Uint32()),
		token:            rand.Uint64(),
		byToken:          map[string]chan arrival{},
		byID:             map[uint16]chan arrival{},
	}, nil
}

// reserve reserves an exchange, or fails with errTooManyExchanges if too many are in flight.
func (c *serverConn) reserve() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reserved >= c.maxExchanges {
		return errTooManyExchanges
	}
	c.reserved++
	c.lastUsedAt = time.Now()
	return nil
}

// release frees a reserved exchange.
func (c *serverConn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reserved--
	c.lastUsedAt = time.Now()
}

// isIdle reports whether no exchange is reserved and the socket has not been used for idleTimeout.
func (c *serverConn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reserved == 0 && time.Since(c.lastUsedAt) > idleTimeout
}

// registerExchange assigns a message id and a token to a new exchange, and routes the arrivals for either of them to a
// channel.
func (c *serverConn) registerExchange(arrivals chan arrival) (id uint16, token []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.messageID++
	c.token++
	token = binary.BigEndian.AppendUint64(nil, c.token)[8-tokenLength:]
	c.byToken[string(token)] = arrivals
	c.byID[c.messageID] = arrivals
	return c.messageID, token
}

// registerPing assigns a message id to a ping and routes its arrivals to a channel.
func (c *serverConn) registerPing(arrivals chan arrival) (id uint16) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.messageID++
	c.byID[c.messageID] = arrivals
	return c.messageID
}

// recordRoundTrip records the time from a block of a request to its Continue.
func (c *serverConn) recordRoundTrip(took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.roundTrip == 0 || took < c.roundTrip {
		c.roundTrip = took
	}
}

// shortestRoundTrip returns the shortest round trip to the server; 0 if it is not known.
func (c *serverConn) shortestRoundTrip() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.roundTrip
}

// unregister removes an exchange or a ping. A ping has no token.
func (c *serverConn) unregister(id uint16, token []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.byToken, string(token))
	delete(c.byID, id)
}

// readLoop delivers received messages until the socket is closed.
func (c *serverConn) readLoop() {
	buffer := make([]byte, readBufferSize)
	for {
		n, err := c.socket.Read(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, syscall.ECONNREFUSED):
			c.deliverPortClosed()
			continue
		case err != nil:
			time.Sleep(readErrorBackoff)
			continue
		}
		c.handleDatagram(bytes.Clone(buffer[:n]))
	}
}

// handleDatagram delivers the message of a datagram. A panic is logged, and ends only the handling of this datagram.
func (c *serverConn) handleDatagram(datagram []byte) {
	defer recoverPanic(c.log, c.count.Invalid.Inc)
	m, err := wire.Decode(datagram)
	if err != nil {
		c.count.Invalid.Inc()
		return
	}
	c.deliver(m)
}

// deliverPortClosed notifies every exchange and ping that no process listens on the port, because the kernel does not
// report which datagram caused the error. A request that was sent before the server process ended may have run, so
// every written request counts as possibly run.
func (c *serverConn) deliverPortClosed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, arrivals := range c.byID {
		select {
		case arrivals <- arrival{portClosed: true}:
		default:
		}
	}
}

// deliver passes a message to the exchange with its token or, if the message is empty, with its message id. A separate
// response is acknowledged even if no exchange waits for it, so that the server stops retransmitting it.
func (c *serverConn) deliver(m message.Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.Type == wire.Con {
		_, _ = c.socket.Write(wire.Empty(wire.Ack, uint16(m.MessageID)))
	}
	arrivals := c.byToken[string(m.Token)]
	if m.Code == codes.Empty {
		arrivals = c.byID[uint16(m.MessageID)]
	}
	if arrivals == nil {
		c.count.Late.Inc()
		return
	}
	select {
	case arrivals <- arrival{message: m}:
	default: // the channel is full: this message repeats one that has not been read yet
	}
}
