// Package body keeps large bodies out of memory: those of requests in files without a name under $TMPDIR, those of answers
// in pieces from a bounded stock of buffers.
package body

import (
	"errors"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"tackhub.example/tackhub/internal/counters"
)

const (
	// Small is the most that is held in memory whole, in bytes: the protocol's bound for ordinary bodies.
	Small = 64 << 10

	// Most is the largest body there may be, in bytes.
	Most = 32 << 20

	// Piece is what is read and written at a time, in bytes. Larger ones hardly cost less CPU.
	Piece = 32 << 10

	// waitMost is how long a body waits for room. Its sender is held up meanwhile; beyond it a request is better off
	// elsewhere, and an answer held back for 2 s is lost.
	waitMost = 1500 * time.Millisecond
)

var (
	// ErrTooLarge says that a body is larger than there may be.
	ErrTooLarge = errors.New("body too large")

	// ErrNoRoom says that no room came free in time.
	ErrNoRoom = errors.New("no room for another large body")

	// ErrKeep says that the body could not be written to its file.
	ErrKeep = errors.New("body cannot be kept")
)

// Store is the room for large bodies.
type Store struct {
	dir     string
	files   chan struct{} // one taken for each file
	buffers chan struct{} // one taken for each buffer
	pool    sync.Pool
	count   *counters.Bodies
}

// New makes a store. Files go to dir; where it is empty there are none, and no large requests.
func New(dir string, files, buffers int, count *counters.Bodies) *Store {
	return &Store{dir: dir, files: make(chan struct{}, files), buffers: make(chan struct{}, buffers), count: count,
		pool: sync.Pool{New: func() any { return new([Piece]byte) }}}
}

// Limit is the largest request that there is room for at all, in bytes.
func (s *Store) Limit() int {
	if s.dir == "" {
		return Small
	}
	return Most
}

// take waits for one of a stock.
func (s *Store) take(stock chan struct{}) bool {
	select {
	case stock <- struct{}{}:
		return true
	default:
	}
	s.count.Waited.Inc()
	t := time.NewTimer(waitMost)
	defer t.Stop()
	select {
	case stock <- struct{}{}:
		return true
	case <-t.C:
		s.count.Refused.Inc()
		return false
	}
}

// Buffer is a piece's room, until it is given back.
func (s *Store) Buffer() (*[Piece]byte, error) {
	if !s.take(s.buffers) {
		return nil, ErrNoRoom
	}
	s.count.Buffers.Inc()
	return s.pool.Get().(*[Piece]byte), nil
}

// Return gives a buffer back.
func (s *Store) Return(b *[Piece]byte) {
	s.pool.Put(b)
	s.count.Buffers.Add(-1)
	<-s.buffers
}

// File is a request's body. Whoever needs it beyond its maker's Release retains it.
type File struct {
	file  *os.File
	size  int64
	users atomic.Int64
	store *Store
}

// Keep reads a body to its end: what has come of it, then the rest.
func (s *Store) Keep(first []byte, rest io.Reader) (*File, error) {
	if s.dir == "" {
		return nil, ErrTooLarge
	}
	if !s.take(s.files) {
		return nil, ErrNoRoom
	}
	f := &File{store: s}
	f.users.Store(1)
	s.count.Files.Inc()
	if err := f.fill(first, rest); err != nil {
		f.Release()
		return nil, err
	}
	return f, nil
}

func (f *File) fill(first []byte, rest io.Reader) error {
	var err error
	if f.file, err = os.CreateTemp(f.store.dir, "tackhub-body-*"); err != nil {
		return errors.Join(ErrKeep, err)
	}
	if err := os.Remove(f.file.Name()); err != nil { // without a name it goes with the process, however that ends
		return errors.Join(ErrKeep, err)
	}
	if err := f.add(first); err != nil {
		return err
	}
	b, err := f.store.Buffer()
	if err != nil {
		return err
	}
	defer f.store.Return(b)
	for {
		n, err := rest.Read(b[:])
		if werr := f.add(b[:n]); werr != nil {
			return werr
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (f *File) add(p []byte) error {
	if f.size+int64(len(p)) > Most {
		return ErrTooLarge
	}
	n, err := f.file.Write(p)
	f.size += int64(n)
	f.store.count.FileBytes.Add(int64(n))
	if err != nil {
		return errors.Join(ErrKeep, err)
	}
	return nil
}

// Size is the body's, in bytes.
func (f *File) Size() int64 { return f.size }

// Retain keeps the body until one more Release.
func (f *File) Retain() { f.users.Add(1) }

// Release lets go of the body; the last one frees its room.
func (f *File) Release() {
	if f.users.Add(-1) > 0 {
		return
	}
	if f.file != nil {
		_ = f.file.Close() // it has no name: nothing is left
	}
	f.store.count.FileBytes.Add(-f.size)
	f.store.count.Files.Add(-1)
	<-f.store.files
}

// Pieces gives the body piece by piece; last tells that the one given is the last. The piece is valid during the call.
func (f *File) Pieces(each func(piece []byte, last bool) error) error {
	b, err := f.store.Buffer()
	if err != nil {
		return err
	}
	defer f.store.Return(b)
	for at := int64(0); at < f.size; {
		n := min(int64(Piece), f.size-at)
		if _, err := f.file.ReadAt(b[:n], at); err != nil {
			return errors.Join(ErrKeep, err)
		}
		at += n
		if err := each(b[:n], at == f.size); err != nil {
			return err
		}
	}
	return nil
}
