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
	// windowLength is the time for which it is drawn whether calls fail, and with which error.
	windowLength = 200 * time.Millisecond

	// failingWindows is the share of windows in which calls fail, and failingCalls the share of calls that fail in them.
	failingWindows = 0.15
	failingCalls   = 0.5
)

var (
	// acceptErrors and connectErrors are the transient errors that Linux documents for accept(2), and for socket(2) and
	// connect(2).
	acceptErrors = []syscall.Errno{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.ETIMEDOUT}
	connectErrors = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH,
		syscall.EHOSTUNREACH, syscall.ETIMEDOUT, syscall.ECONNREFUSED}
)

// The random streams of the sources.
const (
	acceptStream  = 1
	connectStream = 2
)

var (
	accepts  = newSource(acceptErrors, acceptStream)
	connects = newSource(connectErrors, connectStream)
)

// Accept returns the error with which accept(2) fails; nil: it is to be called.
func Accept() error { return accepts.next("accept4") }

// Connect is called before each connect(2), as a net.Dialer.Control. Its error is that of the call.
var Connect = func(string, string, syscall.RawConn) error { return connects.next("connect") }

// source draws the faults of one system call.
type source struct {
	errors []syscall.Errno
	began  time.Time

	mu     sync.Mutex
	rng    *rand.Rand
	window time.Duration // number of the window that errno holds for
	errno  syscall.Errno // 0: no call fails
}

// newSource returns nil where the environment has no seed. Each process draws its own faults.
func newSource(errors []syscall.Errno, stream uint64) *source {
	seed, err := strconv.ParseUint(os.Getenv(SeedVariable), 10, 64)
	if err != nil {
		return nil
	}
	rng := rand.New(rand.NewPCG(seed+uint64(os.Getpid()), stream))
	return &source{errors: errors, began: time.Now(), rng: rng, window: -1}
}

// next returns the error of the next call; nil: it does not fail.
func (s *source) next(call string) error {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enterWindow(time.Since(s.began) / windowLength)
	if s.errno == 0 || s.rng.Float64() >= failingCalls {
		return nil
	}
	return os.NewSyscallError(call, s.errno)
}

// enterWindow draws whether calls fail in a window, and with which error.
func (s *source) enterWindow(window time.Duration) {
	if window == s.window {
		return
	}
	s.window = window
	s.errno = 0
	if s.rng.Float64() < failingWindows {
		s.errno = s.errors[s.rng.IntN(len(s.errors))]
	}
}
