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
	// windowLength is the length of a window. Whether calls fail, and with which error, is drawn once for each window.
	windowLength = 200 * time.Millisecond

	// failingWindowFraction is the fraction of windows in which calls fail.
	failingWindowFraction = 0.15

	// failingCallFraction is the fraction of calls that fail within such a window.
	failingCallFraction = 0.5
)

var (
	// acceptErrors are the transient errors that Linux documents for accept(2).
	acceptErrors = []syscall.Errno{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.ETIMEDOUT}

	// connectErrors are the transient errors that Linux documents for socket(2) and connect(2).
	connectErrors = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH,
		syscall.EHOSTUNREACH, syscall.ETIMEDOUT, syscall.ECONNREFUSED}
)

// Stream numbers of the random generators, one for each system call.
const (
	acceptStream  = 1
	connectStream = 2
)

var (
	acceptFaults  = newSource(acceptErrors, acceptStream)
	connectFaults = newSource(connectErrors, connectStream)
)

// Accept is called before each accept(2). It returns the error to use instead of calling accept(2), or nil to call it.
func Accept() error { return acceptFaults.next("accept4") }

// Connect is called before each connect(2) as a net.Dialer.Control function. If it returns an error, the connect fails with it.
var Connect = func(string, string, syscall.RawConn) error { return connectFaults.next("connect") }

// source decides at random which calls of one system call fail, and with which error.
type source struct {
	errors    []syscall.Errno // the errors to draw from
	startTime time.Time       // start of the first window

	mu     sync.Mutex
	rng    *rand.Rand
	window time.Duration // number of the window to which errno applies
	errno  syscall.Errno // error of the calls that fail in the window; 0 if none fails
}

// newSource returns nil if the environment has no valid seed. The process id is added to the seed so that each process draws
// different faults.
func newSource(errors []syscall.Errno, stream uint64) *source {
	seed, err := strconv.ParseUint(os.Getenv(SeedVariable), 10, 64)
	if err != nil {
		return nil
	}
	rng := rand.New(rand.NewPCG(seed+uint64(os.Getpid()), stream))
	return &source{errors: errors, startTime: time.Now(), rng: rng, window: -1}
}

// next returns the error of the next call, or nil if the call should not fail. call is the name of the system call in the error.
func (s *source) next(call string) error {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enterWindow(time.Since(s.startTime) / windowLength)
	if s.errno == 0 || s.rng.Float64() >= failingCallFraction {
		return nil
	}
	return os.NewSyscallError(call, s.errno)
}

// enterWindow draws, once for each window, whether calls fail in it and with which error.
func (s *source) enterWindow(window time.Duration) {
	if window == s.window {
		return
	}
	s.window = window
	s.errno = 0
	if s.rng.Float64() < failingWindowFraction {
		s.errno = s.errors[s.rng.IntN(len(s.errors))]
	}
}
