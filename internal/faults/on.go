//go:build faultinject

package faults

import (
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	// windowLen is the span for which it is drawn whether calls fail, and with which error.
	windowLen = 200 * time.Millisecond

	// windowShare of the spans have failing calls, failShare of the calls in them fail.
	windowShare, failShare = 0.15, 0.5
)

// acceptErrors and connectErrors are what Linux documents to come and pass.
var (
	acceptErrors = []syscall.Errno{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.ETIMEDOUT}
	connectErrors = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH,
		syscall.EHOSTUNREACH, syscall.ETIMEDOUT, syscall.ECONNREFUSED}
)

// source draws the faults of one kind of call.
type source struct {
	errors []syscall.Errno
	began  time.Time

	mu     sync.Mutex
	rng    *rand.Rand
	window time.Duration // the span that errno holds for
	errno  syscall.Errno // 0: no call fails
}

var (
	accepts  = newSource(acceptErrors, 1)
	connects = newSource(connectErrors, 2)
)

// newSource is nil where no faults are asked for.
func newSource(errors []syscall.Errno, stream uint64) *source {
	seed, err := strconv.ParseUint(os.Getenv(Variable), 10, 64)
	if err != nil {
		return nil
	}
	return &source{errors: errors, began: time.Now(), rng: rand.New(rand.NewPCG(seed+uint64(os.Getpid()), stream)), window: -1}
}

// next is the error of the next call; nil where it does not fail.
func (s *source) next(call string) error {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if window := time.Since(s.began) / windowLen; window != s.window {
		s.window, s.errno = window, 0
		if s.rng.Float64() < windowShare {
			s.errno = s.errors[s.rng.IntN(len(s.errors))]
		}
	}
	if s.errno == 0 || s.rng.Float64() >= failShare {
		return nil
	}
	return os.NewSyscallError(call, s.errno)
}

// Accept fails in place of accept(2).
func Accept() error { return accepts.next("accept4") }

// Connect is called before each connect(2).
var Connect = func(string, string, syscall.RawConn) error { return connects.next("connect") }
