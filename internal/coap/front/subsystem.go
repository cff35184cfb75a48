package front

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/coap/blocks"
	"tackhub.example/tackhub/internal/coap/dedup"
	"tackhub.example/tackhub/internal/counters"
	"tackhub.example/tackhub/internal/inflight"
	"tackhub.example/tackhub/internal/operator"
	"tackhub.example/tackhub/internal/subsystem"
)

// Config is the section [coap]. docs/operating/coap.md describes its keys.
type Config struct {
	Listen                  string         `toml:"listen"`       // IP address and port, of UDP; required
	MaxInFlight             int            `toml:"open"`         // requests; default 512
	MaxExchanges            int            `toml:"remembered"`   // exchanges that are remembered for repeats; default 20,000
	Memory                  operator.Bytes `toml:"memory"`       // of stored responses, uploads and downloads, a third each; default 12 MiB
	MaxExchangesPerEndpoint int            `toml:"per_endpoint"` // exchanges of one device that are remembered; default 64
	MaxUploads              int            `toml:"uploads"`      // uploads in progress; default 128
	Rate                    float64        `toml:"rate"`         // datagrams a second of one address prefix; default 500, 0: no limit
}

// Node is what the subsystem needs of its node.
type Node interface {
	Handler() Handler
	Classes() []balancer.Class
	Counters() *counters.Counters
	InFlight() *inflight.Tracker
}

const (
	// maxUploadsPerEndpoint is two since a device uploads one body at a time, and may begin another while the first one is
	// abandoned.
	maxUploadsPerEndpoint = 2

	// maxDownloadsPerEndpoint bounds the stored responses of one device.
	maxDownloadsPerEndpoint = 4

	// transferIdleTimeout is how long a block-wise transfer waits for its next message: MAX_TRANSMIT_WAIT (RFC 7252, 4.8.2),
	// the longest that a confirmable message can take.
	transferIdleTimeout = 93 * time.Second

	// memoryShares is how many stores share the memory.
	memoryShares = 3

	// minMemory is one body in each store, in bytes.
	minMemory = memoryShares * maxBody
)

// Subsystem is the definition of [coap].
func Subsystem() subsystem.Definition {
	return subsystem.Definition{
		Section: operator.Section{
			Name:    "coap",
			Summary: "devices over CoAP (UDP), through the same decisions as HTTP",
			New:     func() any { return defaultConfig() },
			Check:   check,
		},
		Build: build,
	}
}

// defaultConfig is the configuration of a section without keys. It lacks the address.
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

// check gives the faults of a configuration.
func check(options any) []operator.Diagnostic {
	c := options.(*Config)
	var faults []operator.Diagnostic
	if _, err := netip.ParseAddrPort(c.Listen); err != nil {
		faults = append(faults, operator.Diagnostic{Key: "listen", Message: fmt.Sprintf("%q is no IP address with a port", c.Listen)})
	}
	for key, value := range map[string]int{
		"open":         c.MaxInFlight,
		"remembered":   c.MaxExchanges,
		"per_endpoint": c.MaxExchangesPerEndpoint,
		"uploads":      c.MaxUploads,
	} {
		if value < 1 {
			faults = append(faults, operator.Diagnostic{Key: key, Message: "must be at least 1"})
		}
	}
	if c.Memory < minMemory {
		faults = append(faults, operator.Diagnostic{Key: "memory", Message: fmt.Sprintf("must be at least %d bytes: one body in each third", minMemory)})
	}
	if !(c.Rate >= 0) { // true for NaN as well
		faults = append(faults, operator.Diagnostic{Key: "rate", Message: "must not be negative"})
	}
	return faults
}

// instance is a server with its socket.
type instance struct {
	server  *Server
	conn    net.PacketConn
	started bool
	stop    sync.Once
}

// build opens the socket. The exchanges that the old instance remembers cannot be taken over, so the configuration can only
// change together with the address: a repeat would run its request again.
func build(host subsystem.Host, options any, old subsystem.Instance) (subsystem.Instance, error) {
	node, ok := host.Node.(Node)
	if !ok {
		return nil, errors.New("this node has no request handler")
	}
	config := options.(*Config)
	if running, ok := old.(*instance); ok && running.conn.LocalAddr().String() == config.Listen {
		return nil, errors.New("its other keys cannot be changed while it listens at the same address: what it remembers of " +
			"effects would be lost; turn it off first, or give another address")
	}
	conn, err := net.ListenPacket("udp", config.Listen)
	if err != nil {
		return nil, err
	}
	server, err := New(conn, serverOptions(config, node, host))
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &instance{server: server, conn: conn}, nil
}

// serverOptions are the options of a server with a configuration.
func serverOptions(c *Config, node Node, host subsystem.Host) Options {
	storeBytes := int(c.Memory) / memoryShares
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

// Start begins to serve.
func (i *instance) Start(context.Context) {
	i.started = true
	go i.server.Run()
}

// Stop answers what is in flight and closes the socket.
func (i *instance) Stop() {
	i.stop.Do(func() {
		if !i.started {
			_ = i.conn.Close()
			return
		}
		i.server.Close()
	})
}
