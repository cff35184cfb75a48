// Package body keeps large bodies out of memory. Request bodies are stored in unnamed files, and response bodies are streamed
// through a limited number of buffers.
package body

import (
	"errors"
	"sync"
	"time"

	"tackhub.example/tackhub/internal/counters"
)

const (
	// MaxInMemory is the size of the largest body that is kept in memory, in bytes. It is the protocol's limit for ordinary
	// bodies.
	MaxInMemory = 64 << 10

	// MaxSize is the size of the largest body that is accepted, in bytes.
	MaxSize = 32 << 20

	// BufferSize is the most that one call reads or writes, in bytes. Larger buffers save hardly any CPU.
	BufferSize = 32 << 10

	// MaxTransferTime is 1.5 times as long as a body of MaxSize takes at 64 kB/s, the lowest rate at which clients send.
	MaxTransferTime = MaxSize / 64_000 * 3 / 2 * time.Second

	// maxCapacityWait is how long a body waits for a free file, while its sender is blocked. After that time it is
	// better to retry the request at another node, and a response that is delayed by 2 s is lost.
	maxCapacityWait = 1500 * time.Millisecond
)

var (
	// ErrTooLarge is returned for a body larger than MaxSize, and for every body if the store has no directory.
	ErrTooLarge = errors.New("body too large")

	// ErrNoCapacity is returned if no file becomes free within 1.5 s.
	ErrNoCapacity = errors.New("no file became free for a large body")

	// ErrStorage is returned if the file of a body cannot be written or read, or if a reader finds the body incomplete.
	ErrStorage = errors.New("cannot store or read back body")
)

// Store limits the files and buffers that large bodies use.
type Store struct {
	dir         string
	fileSlots   chan struct{} // semaphore, one element for each file in use
	bufferSlots chan struct{} // semaphore, one element for each buffer of BufferSize in use
	pool        sync.Pool     // of *[BufferSize]byte
	count       *counters.Bodies
}

// New returns a Store that uses up to maxFiles files and maxBuffers buffers of BufferSize at a time. Files are created in dir. If dir is
// empty, large request bodies are rejected.
func New(dir string, maxFiles, maxBuffers int, count *counters.Bodies) *Store {
	return &Store{
		dir:         dir,
		fileSlots:   make(chan struct{}, maxFiles),
		bufferSlots: make(chan struct{}, maxBuffers),
		pool:        sync.Pool{New: func() any { return new([BufferSize]byte) }},
		count:       count,
	}
}

// MaxRequestSize returns the size of the largest request body that is accepted, in bytes.
func (s *Store) MaxRequestSize() int {
	if s.dir == "" {
		return MaxInMemory
	}
	return MaxSize
}

// acquire takes a slot of a semaphore. It returns false if none becomes free within maxCapacityWait.
func (s *Store) acquire(slots chan struct{}) bool {
	select {
	case slots <- struct{}{}:
		return true
	default:
	}
	s.count.Waited.Inc()
	timeout := time.NewTimer(maxCapacityWait)
	defer timeout.Stop()
	select {
	case slots <- struct{}{}:
		return true
	case <-timeout.C:
		s.count.Refused.Inc()
		return false
	}
}
