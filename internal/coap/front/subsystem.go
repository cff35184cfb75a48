package front

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/coap/blocks"
	"tackhub.example/tackhub/internal/coap/dedup"
	"tackhub.example/tackhub/internal/counters"
	"tackhub.example/tackhub/internal/inflight"
	"tackhub.example/tackhub/internal/operator"
	"tackhub.example/tackhub/internal/subsystem"
)

// Config holds the settings of the section [coap]. docs/operating/coap.md describes its keys.
type Config struct {
	Listen                  string         `toml:"listen"`       // UDP address as IP and port; required
	MaxInFlight             int            `toml:"open"`         // requests; default 512
	MaxExchanges            int            `toml:"remembered"`   // exchanges stored to detect retransmissions; default 20,000
	Memory                  operator.Bytes `toml:"memory"`       // bytes for stored responses, uploads and downloads, one third each; default 12 MiB
	MaxExchangesPerEndpoint int            `toml:"per_endpoint"` // stored exchanges of one device; default 64
	MaxUploads              int            `toml:"uploads"`      // uploads in progress; default 128
	Rate                    float64        `toml:"rate"`         // datagrams per second of one address prefix; default 500, 0 means no limit
}

// Node is what the subsystem needs from the node.
type Node interface {
	Handler() Handler
	Classes() []balancer.Class
	Counters() *counters.Counters
	InFlight() *inflight.Tracker
	// LastResponse returns the time by which a shutdown that has begun, or begins now, has written every response.
	LastResponse() time.Time
	// HasPredecessor reports whether another process of this node was running when this one started.
	HasPredecessor() bool
}

// bindRetryInterval is the interval at which a process that takes over tries to bind the address until its predecessor has released it.
const bindRetryInterval = 10 * time.Millisecond

const (
	// maxUploadsPerEndpoint is two because a device uploads one body at a time, but may start another one while an
	// abandoned upload has not timed out yet.
	maxUploadsPerEndpoint = 2

	// maxDownloadsPerEndpoint bounds the stored responses of one device.
	maxDownloadsPerEndpoint = 4

	// transferIdleTimeout is how long a block-wise transfer waits for its next message. It is MAX_TRANSMIT_WAIT (RFC
	// 7252, 4.8.2), the longest time that a sender tries to transmit a confirmable message.
	transferIdleTimeout = 93 * time.Second

	// storeCount is the number of stores that divide the memory equally: stored responses, uploads and downloads.
	storeCount = 3

	// minMemory is the size of one body in each store, in bytes.
	minMemory = storeCount * maxBody
)

// Subsystem returns the definition of the subsystem for the section [coap].
func Subsystem() subsystem.Definition {
	return subsystem.Definition{
		Section: operator.Section{
			Name:    "coap",
			Summary: "devices over CoAP (UDP), balanced in the same way as HTTP requests",
			New:     func() any { return defaultConfig() },
			Check:   check,
		},
		Build: build,
	}
}

// defaultConfig returns the default configuration, which lacks the required address.
func defaultConfig() *Config {
	return &Config{
		MaxInFlight:             512,
		MaxExchanges:            20_000,
		Memory:                  12 << 20,
		MaxExchangesPerEndpoint: 64,
		MaxUploads:              128,
		Rate:                    500,
	}
}

// check returns the errors in a configuration.
func check(options any) []operator.Diagnostic {
	c := options.(*Config)
	var diagnostics []operator.Diagnostic
	if _, err := netip.ParseAddrPort(c.Listen); err != nil {
		diagnostics = append(diagnostics, operator.Diagnostic{Key: "listen", Message: fmt.Sprintf("%q is not an IP address with a port", c.Listen)})
	}
	for key, value := range map[string]int{
		"open":         c.MaxInFlight,
		"remembered":   c.MaxExchanges,
		"per_endpoint": c.MaxExchangesPerEndpoint,
		"uploads":      c.MaxUploads,
	} {
		if value < 1 {
			diagnostics = append(diagnostics, operator.Diagnostic{Key: key, Message: "must be at least 1"})
		}
	}
	if c.Memory < minMemory {
		diagnostics = append(diagnostics, operator.Diagnostic{Key: "memory", Message: fmt.Sprintf("must be at least %d bytes, one body per store", minMemory)})
	}
	if !(c.Rate >= 0) { // also rejects NaN
		diagnostics = append(diagnostics, operator.Diagnostic{Key: "rate", Message: "must not be negative"})
	}
	return diagnostics
}

// instance is a server and its socket.
type instance struct {
	node   Node
	log    *slog.Logger
	listen string // the configured address
	server *Server

	waiting    sync.WaitGroup     // the goroutine that waits for the address, if there is one
	cancelWait context.CancelFunc // ends the wait; nil before Start
	conn       net.PacketConn     // nil until the predecessor has released the address; set by the goroutine that waits
}

// build opens the socket, unless a predecessor process still uses the address. The exchanges stored by the old instance cannot be taken
// over, and without them a retransmission would run its request again. The configuration can therefore change only together with the
// address.
func build(host subsystem.Host, options any, old subsystem.Instance) (subsystem.Instance, error) {
	node, ok := host.Node.(Node)
	if !ok {
		return nil, errors.New("the node does not provide a request handler")
	}
	config := options.(*Config)
	if running, ok := old.(*instance); ok && running.listen == config.Listen {
		return nil, errors.New("the other keys cannot be changed while the address stays the same: the exchanges stored to detect " +
			"retransmissions would be lost; disable the subsystem first, or configure another address")
	}
	conn, err := net.ListenPacket("udp", config.Listen)
	boundByPredecessor := node.HasPredecessor() && errors.Is(err, syscall.EADDRINUSE)
	if err != nil && !boundByPredecessor {
		return nil, err
	}
	server, err := New(conn, serverOptions(config, node, host))
	if err != nil {
		closeIfOpen(conn)
		return nil, err
	}
	return &instance{node: node, log: host.Log, listen: config.Listen, server: server, conn: conn}, nil
}

// closeIfOpen closes a socket unless it is nil.
func closeIfOpen(conn net.PacketConn) {
	if conn != nil {
		_ = conn.Close()
	}
}

// serverOptions returns the options of a server for a configuration.
func serverOptions(c *Config, node Node, host subsystem.Host) Options {
	storeBytes := int(c.Memory) / storeCount
	return Options{
		Handler:     node.Handler(),
		Classes:     node.Classes(),
		Log:         host.Log,
		Count:       &node.Counters().Coap,
		InFlight:    node.InFlight(),
		MaxInFlight: c.MaxInFlight,
		Rate:        c.Rate,
		Dedup: dedup.Limits{
			MaxEntries:     c.MaxExchanges,
			MaxBytes:       storeBytes,
			MaxPerEndpoint: c.MaxExchangesPerEndpoint,
			MaxRefusals:    c.MaxExchanges,
		},
		Uploads: blocks.Limits{
			MaxTransfers:   c.MaxUploads,
			MaxPerEndpoint: maxUploadsPerEndpoint,
			MaxBytes:       storeBytes,
			MaxBodyBytes:   maxBody,
			IdleTimeout:    transferIdleTimeout,
		},
		Downloads: blocks.Limits{
			MaxTransfers:   c.MaxExchanges,
			MaxPerEndpoint: maxDownloadsPerEndpoint,
			MaxBytes:       storeBytes,
			MaxBodyBytes:   maxBody,
			IdleTimeout:    transferIdleTimeout,
		},
	}
}

// Start starts serving, once the predecessor has released the address. Until then the predecessor answers: only it knows the exchanges
// in progress.
func (i *instance) Start(ctx context.Context) {
	ctx, i.cancelWait = context.WithCancel(ctx)
	if i.conn != nil {
		go i.server.Run()
		return
	}
	i.log.Info("waiting for the predecessor process to release the CoAP address", "code", "coap_waits", "listen", i.listen)
	i.waiting.Go(func() { i.awaitAddress(ctx) })
}

// awaitAddress retries until it has opened the socket, and starts serving. It returns without a socket if the context ends first.
func (i *instance) awaitAddress(ctx context.Context) {
	ticker := time.NewTicker(bindRetryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		conn, err := net.ListenPacket("udp", i.listen)
		if err != nil {
			continue
		}
		i.conn, i.server.conn = conn, conn
		i.log.Info("serving CoAP", "code", "coap_start", "listen", i.listen)
		go i.server.Run()
		return
	}
}

// endWait ends the wait for the address, and reports whether the server serves.
func (i *instance) endWait() (serves bool) {
	i.cancelWait()
	i.waiting.Wait()
	return i.conn != nil
}

// BeginStop starts to close the server without waiting for the end, which can take more than a minute if a device does
// not acknowledge its response.
func (i *instance) BeginStop() (ended <-chan struct{}) {
	if !i.endWait() {
		nothing := make(chan struct{})
		close(nothing)
		return nothing
	}
	i.server.BeginClose()
	return i.server.closing.ended
}

// Stop closes the server and waits for the end, which is within the time that a shutdown has.
func (i *instance) Stop() {
	if i.cancelWait == nil { // never started
		closeIfOpen(i.conn)
		return
	}
	if i.endWait() {
		i.server.Close(i.node.LastResponse())
	}
}
