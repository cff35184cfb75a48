package upstream

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/engine"
)

// withdrawingResolver returns an address for the first calls, then withdraws the server or moves it to another address.
type withdrawingResolver struct {
	address   string
	offers    int64  // number of calls that get the address
	movesTo   string // address afterwards; empty: the server is withdrawn
	callCount atomic.Int64
}

func (r *withdrawingResolver) Groups(balancer.ServerID) (string, int, bool) { return "", 0, false }

func (r *withdrawingResolver) Address(balancer.ServerID) (string, bool) {
	if r.callCount.Add(1) <= r.offers {
		return r.address, true
	}
	return r.movesTo, r.movesTo != ""
}

// A server is withdrawn between the choice of a connection to it and the first byte. On an idle connection, for which nothing is
// dialed, the request or probe was once written all the same.
func TestNothingIsWrittenToServerWithdrawnBeforeFirstByte(t *testing.T) {
	for _, movesTo := range []string{"", "127.0.0.1:1"} {
		for _, idle := range []bool{true, false} {
			addr, accepted := acceptingListener(t)
			p, count := testPool(fixedResolver{"s1": addr}, 4, 4)
			if idle {
				p.put(mustAcquire(t, p, "s1"))
			}
			for name, send := range map[string]func(done func(engine.Completion)){
				"request": func(done func(engine.Completion)) { p.Send("s1", engine.OutgoingRequest{Bytes: []byte("x")}, done) },
				"probe":   func(done func(engine.Completion)) { p.ProbeLoad("s1", done) },
			} {
				p.options.Resolver = &withdrawingResolver{address: addr, offers: 1, movesTo: movesTo}
				ended := make(chan engine.Completion, 1)
				send(func(e engine.Completion) { ended <- e })
				select {
				case e := <-ended:
					if e.Outcome != balancer.NotSent {
						t.Errorf("%s, idle connection %v, moves to %q: outcome = %s, want void", name, idle, movesTo, engine.OutcomeName(e.Outcome))
					}
				case <-time.After(10 * time.Second):
					t.Fatalf("%s, idle connection %v: no completion after 10 s", name, idle)
				}
				if idle { // the connection of the next round
					p.options.Resolver = fixedResolver{"s1": addr}
					p.put(mustAcquire(t, p, "s1"))
				}
			}
			expectNoBytes(t, accepted(0))
			if n := count.ServerEnds.Get(string(closeAddressGone)); n != 2 {
				t.Errorf("idle connection %v, moves to %q: %d connections closed as %s, want 2", idle, movesTo, n, closeAddressGone)
			}
		}
	}
}

// expectNoBytes checks that nothing was written to a connection before it was closed.
func expectNoBytes(t *testing.T, c net.Conn) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if n, err := c.Read(make([]byte, 1)); n > 0 || errors.Is(err, os.ErrClosed) {
		t.Errorf("server received %d bytes (error %v), want none", n, err)
	}
}
