package body

import (
	"errors"
	"io"
	"os"
	"sync"
	"sync/atomic"
)

// File is the body of a request. One goroutine fills it, while others may read it with ForEachChunk from the beginning on.
// Whoever uses it beyond its creator's Release calls Retain.
type File struct {
	store     *Store
	file      *os.File
	announced int64 // size in bytes; -1: unknown
	users     atomic.Int64

	mu      sync.Mutex
	size    int64         // bytes written so far
	ended   bool          // nothing more will come
	err     error         // why it ended incomplete; nil: it is complete
	changed chan struct{} // closed, and replaced, when size grows; closed when the file ends
}

// Create returns an empty body that its sender announced to have so many bytes, or -1 where it announced none. It may wait up to
// 1.5 s. The errors are ErrTooLarge, ErrNoCapacity and ErrStorage.
func (s *Store) Create(size int64) (*File, error) {
	if s.dir == "" || size > MaxSize {
		return nil, ErrTooLarge
	}
	if !s.acquire(s.files) {
		return nil, ErrNoCapacity
	}
	f := &File{store: s, announced: size, changed: make(chan struct{})}
	f.users.Store(1)
	s.count.Files.Inc()
	if err := f.create(); err != nil {
		f.Release()
		return nil, errors.Join(ErrStorage, err)
	}
	return f, nil
}

// create creates the file and removes its name, so that it goes with the process however that ends.
func (f *File) create() error {
	var err error
	f.file, err = os.CreateTemp(f.store.dir, "tackhub-body-*")
	if err != nil {
		return err
	}
	return os.Remove(f.file.Name())
}

// Retain keeps the body until one more Release.
func (f *File) Retain() { f.users.Add(1) }

// Release gives the body up. The last Release deletes it.
func (f *File) Release() {
	if f.users.Add(-1) > 0 {
		return
	}
	if f.file != nil {
		_ = f.file.Close() // it has no name, so nothing is left
	}
	f.store.count.FileBytes.Add(-f.size)
	f.store.count.Files.Add(-1)
	<-f.store.files
}

// Fill reads the body to its end, or until pause returns true after some bytes; a later Fill goes on. It reports whether the
// body is complete. Ended is called once the end was read, before a reader can know of it. With an error the body ends
// incomplete, of which readers learn too: ErrTooLarge, ErrNoCapacity, ErrStorage or the error of from. Pause and ended may be
// nil.
func (f *File) Fill(from io.Reader, pause func(got int64) bool, ended func()) (complete bool, err error) {
	b, err := f.store.AcquireBuffer()
	if err != nil {
		f.end(err)
		return false, err
	}
	defer f.store.ReleaseBuffer(b)
	for {
		n, err := from.Read(b[:])
		if writeErr := f.append(b[:n]); writeErr != nil {
			f.end(writeErr)
			return false, writeErr
		}
		if errors.Is(err, io.EOF) {
			err = f.finish(ended)
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

// finish ends a body whose sender has sent its last byte.
func (f *File) finish(ended func()) error {
	if f.announced >= 0 && f.size != f.announced {
		f.end(io.ErrUnexpectedEOF)
		return io.ErrUnexpectedEOF
	}
	if ended != nil {
		ended()
	}
	f.end(nil)
	return nil
}

// append writes bytes to the file and lets readers know of them.
func (f *File) append(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	if f.size+int64(len(p)) > MaxSize {
		return ErrTooLarge
	}
	n, err := f.file.Write(p)
	f.store.count.FileBytes.Add(int64(n))
	f.grow(int64(n))
	if err != nil {
		return errors.Join(ErrStorage, err)
	}
	return nil
}

func (f *File) grow(n int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.size += n
	close(f.changed)
	f.changed = make(chan struct{})
}

// end ends the body, complete or with the error that it is incomplete for. Only its first call counts.
func (f *File) end(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended {
		return
	}
	f.ended = true
	f.err = err
	close(f.changed)
}

// Abort ends a body that will not be filled any more. One that is complete stays so.
func (f *File) Abort() { f.end(io.ErrUnexpectedEOF) }

// Size is the size in bytes: the announced one, or, where none was announced, what has come so far.
func (f *File) Size() int64 {
	if f.announced >= 0 {
		return f.announced
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.size
}

// Complete reports whether the whole body has come.
func (f *File) Complete() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ended && f.err == nil
}

// ForEachChunk calls each with one chunk of the body after the other, as they come; a chunk is valid during the call. Last
// marks the last chunk, which is never passed before the body is complete: a server begins to run a request once it has the
// last byte, and what does not become complete must not run. The errors are ErrNoCapacity, ErrStorage, also for a body that
// ends incomplete, and those of each.
func (f *File) ForEachChunk(each func(chunk []byte, last bool) error) error {
	b, err := f.store.AcquireBuffer()
	if err != nil {
		return err
	}
	defer f.store.ReleaseBuffer(b)
	offset := int64(0)
	for {
		size, ended, err := f.await(offset)
		if err != nil {
			return errors.Join(ErrStorage, err)
		}
		if !ended && size == f.announced {
			size-- // the last byte waits until the body is complete
		}
		n := min(int64(BufferSize), size-offset)
		if n == 0 && ended {
			return nil
		}
		if n == 0 {
			if _, _, err := f.await(f.announced); err != nil {
				return errors.Join(ErrStorage, err)
			}
			continue
		}
		if _, err := f.file.ReadAt(b[:n], offset); err != nil {
			return errors.Join(ErrStorage, err)
		}
		offset += n
		last := ended && offset == size
		if err := each(b[:n], last); err != nil {
			return err
		}
	}
}

// await waits until the body has more than so many bytes, or has ended. The error is why it ended incomplete. No reader
// waits for good: the sender must keep its rate, or the body ends.
func (f *File) await(beyond int64) (size int64, ended bool, err error) {
	for {
		f.mu.Lock()
		size = f.size
		ended = f.ended
		err = f.err
		changed := f.changed
		f.mu.Unlock()
		if size > beyond || ended {
			return size, ended, err
		}
		<-changed
	}
}
