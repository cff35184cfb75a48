// Package body keeps large bodies out of memory. Request bodies are stored in unnamed files, and response bodies are streamed
// through a limited number of buffers.
package body

import (
	"errors"
	"sync"
	"time"

	"tackhub.example/tackhub/internal/counters"
	"tackhub.example/tackhub/internal/memory"
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

	// reclaimInterval is the time between two tries to reclaim a file while a body waits for one.
	reclaimInterval = 50 * time.Millisecond
)

var (
	// ErrTooLarge is returned for a body larger than MaxSize, and for every body if the store has no directory.
	ErrTooLarge = errors.New("body too large")

	// ErrNoCapacity is returned if no file or memory becomes free in time.
	ErrNoCapacity = errors.New("no file or memory became free for a request body")

	// ErrStorage is returned if the file of a body cannot be written or read, or if a reader finds the body incomplete.
	ErrStorage = errors.New("cannot store or read back body")
)

// Store limits the files and buffers that large bodies use.
type Store struct {
	dir         string
	fileSlots   chan struct{} // semaphore, one element for each file in use
	bufferSlots chan struct{} // semaphore, one element for each buffer of BufferSize in use
	pool        sync.Pool     // of *[BufferSize]byte
	memory      *memory.Account
	count       *counters.Bodies
}

// New returns a Store that uses up to maxFiles files and maxBuffers buffers of BufferSize at a time. Files are created in dir. If dir is
// empty, large request bodies are rejected. Files and buffers are charged to the account.
func New(dir string, maxFiles, maxBuffers int, account *memory.Account, count *counters.Bodies) *Store {
	return &Store{
		dir:         dir,
		fileSlots:   make(chan struct{}, maxFiles),
		bufferSlots: make(chan struct{}, maxBuffers),
		pool:        sync.Pool{New: func() any { return new([BufferSize]byte) }},
		memory:      account,
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

// acquireFile takes a slot for a file. It returns false if none becomes free within the given time.
func (s *Store) acquireFile(wait time.Duration) bool {
	select {
	case s.fileSlots <- struct{}{}:
		return true
	default:
	}
	s.count.Waited.Inc()
	for deadline := time.Now().Add(wait); time.Now().Before(deadline); {
		s.memory.Reclaim()
		timer := time.NewTimer(min(reclaimInterval, time.Until(deadline)))
		select {
		case s.fileSlots <- struct{}{}:
			timer.Stop()
			return true
		case <-timer.C:
		}
	}
	s.count.Refused.Inc()
	return false
}
