package back

import (
	"bytes"
	"encoding/binary"
	"errors"
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
	// readBufferSize is that of the largest datagram, in bytes.
	readBufferSize = 64 << 10

	// readPause is the rest after a read that failed, so that an error that lasts takes no core.
	readPause = time.Millisecond

	// tokenLength is the length of our tokens in bytes.
	tokenLength = 6
)

// errTooManyExchanges says that the limit of exchanges with one server is reached.
var errTooManyExchanges = errors.New("too many exchanges in flight to the server")

// serverConn is the socket to one server. It is connected, so that the kernel reports a port on which nobody listens.
type serverConn struct {
	socket           *net.UDPConn
	maxExchanges     int
	retransmitWindow time.Duration
	count            *counters.CoapServers

	mu        sync.Mutex
	messageID uint16
	token     uint64
	byToken   map[string]chan arrival // exchanges that wait for a response
	byID      map[uint16]chan arrival // the same, and pings, by message id
	reserved  int                     // exchanges
	usedAt    time.Time
}

// arrival is what came for an exchange: a message, or the kernel's report that nobody listens.
type arrival struct {
	message    message.Message
	portClosed bool
}

// dial opens a socket to a server. The error is the system's.
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
		messageID:        uint16(rand.Uint32()),
		token:            rand.Uint64(),
		byToken:          map[string]chan arrival{},
		byID:             map[uint16]chan arrival{},
	}, nil
}

// reserve takes one of the exchanges that may be in flight, or fails with errTooManyExchanges.
func (c *serverConn) reserve() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reserved >= c.maxExchanges {
		return errTooManyExchanges
	}
	c.reserved++
	c.usedAt = time.Now()
	return nil
}

// release gives a reserved exchange back.
func (c *serverConn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reserved--
	c.usedAt = time.Now()
}

// isIdle reports whether the socket has not been used for idleTimeout.
func (c *serverConn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reserved == 0 && time.Since(c.usedAt) > idleTimeout
}

// registerExchange gives a new exchange its message id and token, and lets what comes for either go to a channel.
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

// registerPing gives a ping its message id, and lets what comes for it go to a channel.
func (c *serverConn) registerPing(arrivals chan arrival) (id uint16) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.messageID++
	c.byID[c.messageID] = arrivals
	return c.messageID
}

// unregister ends what the two above began. A ping has no token.
func (c *serverConn) unregister(id uint16, token []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.byToken, string(token))
	delete(c.byID, id)
}

// readLoop delivers what comes until the socket is closed.
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
			time.Sleep(readPause)
			continue
		}
		m, err := wire.Decode(bytes.Clone(buffer[:n]))
		if err != nil {
			c.count.Junk.Inc()
			continue
		}
		c.deliver(m)
	}
}

// deliverPortClosed tells every exchange that nobody listens. The kernel does not say which datagram it was about: one that
// was sent before the server died may have run, so none may be reported as never run.
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

// deliver hands a message to the exchange that it belongs to: by its token, an empty message by its id. A separate response
// is acknowledged even where no exchange waits for it, so that the server stops sending it.
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
	default: // a duplicate of what waits to be read
	}
}
