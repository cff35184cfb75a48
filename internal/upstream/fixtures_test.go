package upstream

import (
	"context"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/counters"
)

// fixedResolver is a Resolver with a fixed table of addresses.
type fixedResolver map[balancer.ServerID]string

// Groups returns the group of every server: zone z and cell 1.
func (r fixedResolver) Groups(balancer.ServerID) (zone string, cell int, known bool) {
	return "z", 1, true
}

func (r fixedResolver) Address(id balancer.ServerID) (string, bool) {
	addr, ok := r[id]
	return addr, ok
}

// acceptingListener accepts connections and keeps them open. It returns its address and a function that waits for the i-th
// connection, counted from 0.
func acceptingListener(t *testing.T) (string, func(int) net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	accepted := make(chan net.Conn, 16)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	var all []net.Conn
	t.Cleanup(func() {
		for _, c := range all {
			_ = c.Close()
		}
	})
	return l.Addr().String(), func(i int) net.Conn {
		t.Helper()
		for len(all) <= i {
			select {
			case c := <-accepted:
				all = append(all, c)
			case <-time.After(10 * time.Second):
				t.Fatalf("connection %d was not accepted within 10 s", i)
			}
		}
		return all[i]
	}
}

// silentListener accepts any number of connections, discards all input and never responds.
func silentListener(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(io.Discard, c)
				_ = c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

// testPool returns a pool with the given connection limits, and its counters.
func testPool(resolver fixedResolver, maxConns, maxPerServer int) (*Pool, *counters.Counters) {
	count := &counters.Counters{}
	return New(Options{
		Resolver:          resolver,
		ConnectTimeout:    time.Second,
		IdleTimeout:       time.Minute,
		ProbeTimeout:      time.Second,
		MaxConns:          maxConns,
		MaxConnsPerServer: maxPerServer,
		Log:               slog.New(slog.NewTextHandler(io.Discard, nil)),
		Counters:          count,
	}), count
}

// mustAcquire acquires a connection and fails the test if there is an error.
func mustAcquire(t *testing.T, p *Pool, id balancer.ServerID) *conn {
	t.Helper()
	c, err := p.acquire(context.Background(), id)
	if err != nil {
		t.Fatal(err)
	}
	return c
}
