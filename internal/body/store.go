// Package body keeps large bodies out of memory. Those of requests are stored in unnamed files, those of responses pass through
// a bounded stock of buffers.
package body

import (
	"errors"
	"sync"
	"time"

	"tackhub.example/tackhub/internal/counters"
)

const (
	// MaxInMemory is the largest body that is held in memory, in bytes: the protocol's bound for ordinary bodies.
	MaxInMemory = 64 << 10

	// MaxSize is the largest body that is accepted, in bytes.
	MaxSize = 32 << 20

	// BufferSize is how much is read and written at a time, in bytes. Larger buffers save hardly any CPU.
	BufferSize = 32 << 10

	// MaxTransferTime is how long a body of MaxSize takes at the least rate at which clients send, 64 kB a second, and half
	// as long again.
	MaxTransferTime = MaxSize / 64_000 * 3 / 2 * time.Second

	// maxWait is how long a body waits for capacity. Its sender is held up meanwhile. Beyond it a request is better retried
	// at another node, and a response that is held back for 2 s is lost.
	maxWait = 1500 * time.Millisecond
)

var (
	// ErrTooLarge is returned for a body larger than MaxSize, and for any where the store has no directory.
	ErrTooLarge = errors.New("body too large")

	// ErrNoCapacity is returned if no file or buffer becomes free in time.
	ErrNoCapacity = errors.New("no capacity for another large body")

	// ErrStorage is returned if a body cannot be written to its file or read from it, or is incomplete.
	ErrStorage = errors.New("cannot store body")
)

// Store limits the files and buffers that large bodies use.
type Store struct {
	dir     string
	files   chan struct{} // one element for each file
	buffers chan struct{} // one element for each buffer in use
	pool    sync.Pool     // of *[BufferSize]byte
	count   *counters.Bodies
}

// New returns a Store of so many files and buffers. Files are created in dir; where it is empty large request bodies are
// rejected.
func New(dir string, files, buffers int, count *counters.Bodies) *Store {
	return &Store{
		dir:     dir,
		files:   make(chan struct{}, files),
		buffers: make(chan struct{}, buffers),
		pool:    sync.Pool{New: func() any { return new([BufferSize]byte) }},
		count:   count,
	}
}

// MaxRequestSize is the largest request body that is accepted, in bytes.
func (s *Store) MaxRequestSize() int {
	if s.dir == "" {
		return MaxInMemory
	}
	return MaxSize
}

// AcquireBuffer returns a buffer, for which it may wait up to 1.5 s. The caller gives it back with ReleaseBuffer. The error
// is ErrNoCapacity.
func (s *Store) AcquireBuffer() (*[BufferSize]byte, error) {
	if !s.acquire(s.buffers) {
		return nil, ErrNoCapacity
	}
	s.count.Buffers.Inc()
	return s.pool.Get().(*[BufferSize]byte), nil
}

// ReleaseBuffer gives a buffer back.
func (s *Store) ReleaseBuffer(b *[BufferSize]byte) {
	s.pool.Put(b)
	s.count.Buffers.Add(-1)
	<-s.buffers
}

// acquire takes one of the files or buffers that a channel counts. It reports false if none becomes free in time.
func (s *Store) acquire(inUse chan struct{}) bool {
	select {
	case inUse <- struct{}{}:
		return true
	default:
	}
	s.count.Waited.Inc()
	timeout := time.NewTimer(maxWait)
	defer timeout.Stop()
	select {
	case inUse <- struct{}{}:
		return true
	case <-timeout.C:
		s.count.Refused.Inc()
		return false
	}
}
