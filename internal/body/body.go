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
	MaxInMemory = 64 << 10

	// Most is the largest body there may be, in bytes.
	MaxSize = 32 << 20

	// Piece is what is read and written at a time, in bytes. Larger ones hardly cost less CPU.
	BufferSize = 32 << 10

	// Longest is how long the largest body may take at the least rate at which a client may send, 64 kB a second, and half
	// as long again.
	MaxTransferTime = MaxSize / 64_000 * 3 / 2 * time.Second

	// waitMost is how long a body waits for room. Its sender is held up meanwhile; beyond it a request is better off
	// elsewhere, and an answer held back for 2 s is lost.
	waitMost = 1500 * time.Millisecond
)

var (
	// ErrTooLarge says that a body is larger than there may be.
	ErrTooLarge = errors.New("body too large")

	// ErrNoRoom says that no room came free in time.
	ErrNoCapacity = errors.New("no room for another large body")

	// ErrKeep says that the body could not be written to its file.
	ErrStorage = errors.New("body cannot be kept")
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
		pool: sync.Pool{New: func() any { return new([BufferSize]byte) }}}
}

// Limit is the largest request that there is room for at all, in bytes.
func (s *Store) MaxRequestSize() int {
	if s.dir == "" {
		return MaxInMemory
	}
	return MaxSize
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
func (s *Store) AcquireBuffer() (*[BufferSize]byte, error) {
	if !s.take(s.buffers) {
		return nil, ErrNoCapacity
	}
	s.count.Buffers.Inc()
	return s.pool.Get().(*[BufferSize]byte), nil
}

// Return gives a buffer back.
func (s *Store) ReleaseBuffer(b *[BufferSize]byte) {
	s.pool.Put(b)
	s.count.Buffers.Add(-1)
	<-s.buffers
}

// File is a request's body. It may still grow: whoever sends it on follows it to its end. Whoever needs it beyond its
// maker's Release retains it.
type File struct {
	file  *os.File
	want  int64 // bytes announced, -1 where they were not
	users atomic.Int64
	store *Store

	mu   sync.Mutex
	size int64 // so far
	over bool  // nothing more will come
	err  error // why it will not become whole
	more chan struct{}
}

// Begin makes room for a body of so many bytes, -1 where that is not known.
func (s *Store) Create(size int64) (*File, error) {
	if s.dir == "" || size > MaxSize {
		return nil, ErrTooLarge
	}
	if !s.take(s.files) {
		return nil, ErrNoCapacity
	}
	f := &File{store: s, want: size, more: make(chan struct{})}
	f.users.Store(1)
	s.count.Files.Inc()
	var err error
	if f.file, err = os.CreateTemp(s.dir, "tackhub-body-*"); err == nil {
		err = os.Remove(f.file.Name()) // without a name it goes with the process, however that ends
	}
	if err != nil {
		f.Release()
		return nil, errors.Join(ErrStorage, err)
	}
	return f, nil
}

// Fill reads the body to its end, or until pause says so after some piece. It tells whether the end has come; ended is
// called before anyone who follows the body can know of that. A body that cannot be read or kept will not become whole,
// which whoever follows it hears too. Both functions may be nil.
func (f *File) Fill(from io.Reader, pause func(got int64) bool, ended func()) (whole bool, err error) {
	b, err := f.store.AcquireBuffer()
	if err != nil {
		f.end(err)
		return false, err
	}
	defer f.store.ReleaseBuffer(b)
	for {
		n, err := from.Read(b[:])
		if werr := f.add(b[:n]); werr != nil {
			err = werr
		} else if errors.Is(err, io.EOF) {
			err = nil
			if f.want >= 0 && f.size != f.want {
				err = io.ErrUnexpectedEOF
			}
			if err == nil && ended != nil {
				ended()
			}
			f.end(err)
			return err == nil, err
		}
		if err != nil {
			f.end(err)
			return false, err
		}
		if pause != nil && pause(f.size) {
			return false, nil
		}
	}
}

// end says that nothing more will come.
func (f *File) end(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.over {
		f.over, f.err = true, err
		close(f.more)
	}
}

// Stop ends a body that will not become whole; one that is stays as it is.
func (f *File) Abort() { f.end(io.ErrUnexpectedEOF) }

func (f *File) add(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	if f.size+int64(len(p)) > MaxSize {
		return ErrTooLarge
	}
	n, err := f.file.Write(p)
	f.store.count.FileBytes.Add(int64(n))
	f.mu.Lock()
	f.size += int64(n)
	close(f.more)
	f.more = make(chan struct{})
	f.mu.Unlock()
	if err != nil {
		return errors.Join(ErrStorage, err)
	}
	return nil
}

// Size is the body's in bytes, once it is whole.
func (f *File) Size() int64 {
	if f.want >= 0 {
		return f.want
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.size
}

// Whole tells whether all of it has come.
func (f *File) Complete() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.over && f.err == nil
}

// await waits until there is more than so many bytes, or the end. It tells how many there are.
func (f *File) await(beyond int64) (size int64, over bool, err error) {
	for {
		f.mu.Lock()
		size, over, err = f.size, f.over, f.err
		more := f.more
		f.mu.Unlock()
		if size > beyond || over {
			return size, over, err
		}
		<-more // a body comes as fast as it must, or ends: nobody waits for good
	}
}

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

// Pieces gives the body piece by piece as it comes; last tells that the one given is the last, which it can only be once the
// whole body is there. The piece is valid during the call.
func (f *File) ForEachChunk(each func(piece []byte, last bool) error) error {
	b, err := f.store.AcquireBuffer()
	if err != nil {
		return err
	}
	defer f.store.ReleaseBuffer(b)
	for at := int64(0); ; {
		size, over, err := f.await(at)
		if err != nil {
			return errors.Join(ErrStorage, err)
		}
		if !over && size == f.want {
			size-- // its end may yet not come: the last byte waits for it
		}
		n := min(int64(BufferSize), size-at)
		if n == 0 && over {
			return nil
		}
		if n == 0 {
			if _, _, err := f.await(f.want); err != nil {
				return errors.Join(ErrStorage, err)
			}
			continue
		}
		if _, err := f.file.ReadAt(b[:n], at); err != nil {
			return errors.Join(ErrStorage, err)
		}
		at += n
		if err := each(b[:n], over && at == size); err != nil {
			return err
		}
	}
}
