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

// Section is [coap].
type Config struct {
	Listen                  string         `toml:"listen"`       // IP address and port; UDP
	MaxInFlight             int            `toml:"open"`         // requests in hand
	MaxExchanges            int            `toml:"remembered"`   // exchanges, for repeats
	Memory                  operator.Bytes `toml:"memory"`       // of remembered answers, half-sent bodies and kept answers, a third each
	MaxExchangesPerEndpoint int            `toml:"per_endpoint"` // exchanges of one device that are remembered
	MaxUploads              int            `toml:"uploads"`      // bodies half sent
	Rate                    float64        `toml:"rate"`         // datagrams a second of one address prefix (IPv4 /24, IPv6 /56); 0: no limit
}

// Node is what the front needs of its node.
type Node interface {
	Handler() Handler
	Classes() []balancer.Class
	Counters() *counters.Counters
	InFlight() *inflight.Tracker
}

const (
	// uploadsPerEndpoint: a device sends one body at a time, and may begin another while the first is given up.
	uploadsPerEndpoint = 2
	keptPerEndpoint    = 4

	// uploadIdle is how long a half-sent body waits for its next block: the longest that a confirmable message can take.
	uploadIdle = 93 * time.Second
)

// Part is the subsystem.
func Subsystem() subsystem.Definition {
	return subsystem.Definition{
		Section: operator.Section{Name: "coap", Summary: "devices over CoAP (UDP), through the same decisions as HTTP",
			New: func() any {
				return &Config{MaxInFlight: 512, MaxExchanges: 20_000, Memory: 12 << 20, MaxExchangesPerEndpoint: 64, MaxUploads: 128, Rate: 500}
			}, Check: check},
		Build: build,
	}
}

func check(options any) []operator.Diagnostic {
	o := options.(*Config)
	var out []operator.Diagnostic
	if _, err := netip.ParseAddrPort(o.Listen); err != nil {
		out = append(out, operator.Diagnostic{Key: "listen", Message: fmt.Sprintf("%q is no IP address with a port", o.Listen)})
	}
	for key, n := range map[string]int{"open": o.MaxInFlight, "remembered": o.MaxExchanges, "per_endpoint": o.MaxExchangesPerEndpoint, "uploads": o.MaxUploads} {
		if n < 1 {
			out = append(out, operator.Diagnostic{Key: key, Message: "must be at least 1"})
		}
	}
	if o.Memory < 3*maxBody {
		out = append(out, operator.Diagnostic{Key: "memory", Message: fmt.Sprintf("must be at least %d bytes: one body in each third", 3*maxBody)})
	}
	if !(o.Rate >= 0) {
		out = append(out, operator.Diagnostic{Key: "rate", Message: "must not be negative"})
	}
	return out
}

// running is the front with its socket.
type running struct {
	front *Server
	conn  net.PacketConn
	once  sync.Once
	run   bool
}

func build(host subsystem.Host, options any, old subsystem.Instance) (subsystem.Instance, error) {
	n, ok := host.Node.(Node)
	if !ok {
		return nil, errors.New("this node has no desk")
	}
	o := options.(*Config)
	if was, ok := old.(*running); ok && was.conn.LocalAddr().String() == o.Listen {
		return nil, errors.New("its other keys cannot be changed while it listens at the same address: what it remembers of " +
			"effects would be lost; turn it off first, or give another address")
	}
	conn, err := net.ListenPacket("udp", o.Listen)
	if err != nil {
		return nil, err
	}
	third := int(o.Memory) / 3
	f, err := New(conn, Options{Handler: n.Handler(), Classes: n.Classes(), Log: host.Log, Count: &n.Counters().Coap, InFlight: n.InFlight(), MaxInFlight: o.MaxInFlight, Rate: o.Rate,
		Dedup:     dedup.Limits{MaxEntries: o.MaxExchanges, MaxBytes: third, MaxPerEndpoint: o.MaxExchangesPerEndpoint},
		Uploads:   blocks.Limits{MaxTransfers: o.MaxUploads, MaxPerEndpoint: uploadsPerEndpoint, MaxBytes: third, MaxBodyBytes: maxBody, IdleTimeout: uploadIdle},
		Downloads: blocks.Limits{MaxTransfers: o.MaxExchanges, MaxPerEndpoint: keptPerEndpoint, MaxBytes: third, MaxBodyBytes: maxBody, IdleTimeout: uploadIdle}})
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &running{front: f, conn: conn}, nil
}

// Start begins to serve.
func (r *running) Start(context.Context) {
	r.run = true
	go r.front.Run()
}

// Stop answers what is in hand and closes the socket.
func (r *running) Stop() {
	r.once.Do(func() {
		if !r.run {
			_ = r.conn.Close()
			return
		}
		r.front.Close()
	})
}
