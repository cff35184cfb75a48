package upstream

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/engine"
)

// A dial that fails because this node has no file descriptor left must not count against the server.
func TestDescriptorExhaustionIsLocalFailure(t *testing.T) {
	for errno, local := range map[syscall.Errno]bool{syscall.EMFILE: true, syscall.ENFILE: true,
		syscall.ECONNREFUSED: false} {
		err := &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", errno)}
		if isLocalFailure(err) != local || dialReason(context.Background(), err) == closeEvicted != local {
			t.Errorf("%v: isLocalFailure = %v, want %v; dialReason = %s, want %s only if local", errno, isLocalFailure(err), local,
				dialReason(context.Background(), err), closeEvicted)
		}
	}
}

// Operators distinguish a dead process (refused) from an unreachable machine (timeout) by the reason of a failed dial.
func TestDialReason(t *testing.T) {
	addr, _ := acceptingListener(t)
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	for name, c := range map[string]struct {
		ctx     context.Context
		timeout time.Duration
		addr    string
		reason  closeReason
	}{
		"silent":            {context.Background(), time.Nanosecond, addr, closeConnectTimeout},
		"refused":           {context.Background(), time.Minute, "127.0.0.1:1", closeConnectRefused},
		"cancelled context": {cancelled, time.Minute, addr, closeAborted},
	} {
		p, count := testPool(fixedResolver{"s1": c.addr}, 1, 1)
		p.dialer.Timeout = c.timeout
		if _, err := p.acquire(c.ctx, "s1"); err == nil || count.ServerEnds.Get(string(c.reason)) != 1 {
			t.Errorf("%s: error %v, %d closes counted as %s, want an error and 1", name, err,
				count.ServerEnds.Get(string(c.reason)), c.reason)
		}
	}
}

// Errors of connect(2) caused by this machine must end an attempt as NotSent, which does not count against the server; other
// errors must end it as Unreachable.
func TestConnectErrorOutcome(t *testing.T) {
	for errno, want := range map[syscall.Errno]balancer.Outcome{
		syscall.ENFILE:        balancer.NotSent,
		syscall.EMFILE:        balancer.NotSent,
		syscall.ENOBUFS:       balancer.NotSent,
		syscall.EADDRNOTAVAIL: balancer.NotSent,
		syscall.ENETUNREACH:   balancer.NotSent,
		syscall.ECONNREFUSED:  balancer.Unreachable,
		syscall.EHOSTUNREACH:  balancer.Unreachable,
		syscall.ETIMEDOUT:     balancer.Unreachable,
	} {
		p, _ := testPool(fixedResolver{"s": "127.0.0.1:1"}, 4, 4)
		p.dialer.Control = func(string, string, syscall.RawConn) error { return os.NewSyscallError("connect", errno) }
		ended := make(chan engine.Completion, 1)
		p.Send("s", engine.OutgoingRequest{Bytes: []byte("x")}, func(e engine.Completion) { ended <- e })
		if got := (<-ended).Outcome; got != want {
			t.Errorf("%v: outcome = %s, want %s", errno, engine.OutcomeName(got), engine.OutcomeName(want))
		}
		if p.total != 0 {
			t.Errorf("%v: %d connections reserved after the failure, want 0", errno, p.total)
		}
	}
}

// The process has no CPU time while it connects, so that the connect timeout passes although the server has accepted the connection. The server
// must not count as unreachable. A server that does not accept must, after one further try at most.
func TestConnectTimeoutInStandstillIsNotTheServers(t *testing.T) {
	addr, _ := acceptingListener(t)
	p, _ := testPool(fixedResolver{"s1": addr}, 1, 1)
	p.dialer.Timeout = 20 * time.Millisecond
	dials := 0
	p.dialer.Control = func(string, string, syscall.RawConn) error {
		dials++
		if dials == 1 {
			time.Sleep(5 * p.dialer.Timeout)
		}
		return nil
	}
	if _, err := p.acquire(context.Background(), "s1"); err != nil {
		t.Errorf("error %v after a standstill during the first dial, want a connection", err)
	}
	p, count := testPool(fixedResolver{"s1": addr}, 1, 1)
	p.dialer.Timeout = 20 * time.Millisecond
	dials = 0
	p.dialer.Control = func(string, string, syscall.RawConn) error {
		dials++
		time.Sleep(5 * p.dialer.Timeout)
		return nil
	}
	if _, err := p.acquire(context.Background(), "s1"); err == nil || dials != 2 || count.ServerEnds.Get(string(closeConnectTimeout)) != 1 {
		t.Errorf("error %v after %d dials, counted %d times as %s, want an error after 2, counted once", err, dials,
			count.ServerEnds.Get(string(closeConnectTimeout)), closeConnectTimeout)
	}
}
