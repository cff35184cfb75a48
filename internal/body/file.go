package body

import (
	"errors"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"tackhub.example/tackhub/internal/memory"
)

// File holds the body of a request in an unnamed file. One goroutine fills it with Fill while others may already read it
// with ForEachChunk. Code that may still use the File after its creator calls Release must call Retain first.
type File struct {
	store         *Store
	file          *os.File
	announcedSize int64         // bytes; -1 if unknown
	mayWait       time.Duration // for memory, in all
	charged       int64         // bytes charged to the store's account
	refCount      atomic.Int64

	mu      sync.Mutex
	size    int64         // bytes written so far
	ended   bool          // no more bytes will be written
	err     error         // why the ended body is incomplete; nil if it is complete
	changed chan struct{} // closed and replaced when size grows; closed when the body ends
}

// Create returns an empty body. Size is the size in bytes that the sender announced, or -1 if it announced none. Create waits up to
// maxWait for a free file, and Fill as long in all for memory. The errors are ErrTooLarge, ErrNoCapacity and ErrStorage.
func (s *Store) Create(size int64, maxWait time.Duration) (*File, error) {
	if s.dir == "" || size > MaxSize {
		return nil, ErrTooLarge
	}
	if !s.memory.CanEverFit(memory.RequestFiles, size) || !s.acquireFile(maxWait) {
		return nil, ErrNoCapacity
	}
	f := &File{store: s, announcedSize: size, mayWait: maxWait, changed: make(chan struct{})}
	f.refCount.Store(1)
	s.count.Files.Inc()
	if err := f.create(); err != nil {
		f.Release()
		return nil, errors.Join(ErrStorage, err)
	}
	return f, nil
}

// create creates the file and removes its name, so that the kernel deletes the file even if the process is killed.
func (f *File) create() error {
	var err error
	f.file, err = os.CreateTemp(f.store.dir, "tackhub-body-*")
	if err != nil {
		return err
	}
	return os.Remove(f.file.Name())
}

// Retain adds a reference to the body, which needs one more call of Release. It returns false if the body was deleted, because its last
// reference was dropped.
func (f *File) Retain() bool {
	for {
		count := f.refCount.Load()
		if count <= 0 {
			return false
		}
		if f.refCount.CompareAndSwap(count, count+1) {
			return true
		}
	}
}

// Release drops a reference to the body. Dropping the last one deletes the body.
func (f *File) Release() {
	if f.refCount.Add(-1) != 0 {
		return
	}
	if f.file != nil {
		_ = f.file.Close() // the file has no name, so the kernel deletes it
	}
	f.store.memory.Release(memory.RequestFiles, f.charged)
	f.store.count.FileBytes.Add(-f.size)
	f.store.count.Files.Add(-1)
	<-f.store.fileSlots
}

// Fill copies source into the body until source ends, or until shouldPause returns true for the number of bytes received;
// another call of Fill then continues. It reports whether the body is complete. It calls onComplete after it has read the
// last byte and before readers see the body as complete. Both functions may be nil. The errors are ErrTooLarge,
// ErrNoCapacity, ErrStorage, io.ErrUnexpectedEOF and those of source. After an error the body stays incomplete, and readers
// get the error too.
func (f *File) Fill(source io.Reader, shouldPause func(received int64) bool, onComplete func()) (complete bool, err error) {
	buffer := f.store.AcquireBuffer()
	defer f.store.ReleaseBuffer(buffer)
	for {
		n, err := source.Read(buffer)
		if writeErr := f.append(buffer[:n]); writeErr != nil {
			f.end(writeErr)
			return false, writeErr
		}
		if errors.Is(err, io.EOF) {
			err = f.finish(onComplete)
			return err == nil, err
		}
		if err != nil {
			f.end(err)
			return false, err
		}
		if shouldPause != nil && shouldPause(f.size) {
			return false, nil
		}
	}
}

// finish ends a body after its source has ended. The body is incomplete if it is not as long as announced.
func (f *File) finish(onComplete func()) error {
	if f.announcedSize >= 0 && f.size != f.announcedSize {
		f.end(io.ErrUnexpectedEOF)
		return io.ErrUnexpectedEOF
	}
	if onComplete != nil {
		onComplete()
	}
	f.end(nil)
	return nil
}

// append writes bytes to the file and wakes the readers that wait for them.
func (f *File) append(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	if f.size+int64(len(p)) > MaxSize {
		return ErrTooLarge
	}
	if !f.charge(int64(len(p))) {
		return ErrNoCapacity
	}
	n, err := f.file.Write(p)
	f.store.count.FileBytes.Add(int64(n))
	f.grow(int64(n))
	if err != nil {
		return errors.Join(ErrStorage, err)
	}
	return nil
}

// charge charges bytes that are about to be written. It returns false if no memory becomes free in the time that is left for waiting.
func (f *File) charge(n int64) bool {
	began := time.Now()
	if !f.store.memory.WaitCharge(memory.RequestFiles, n, f.mayWait) {
		return false
	}
	f.mayWait -= time.Since(began)
	f.charged += n
	return true
}

func (f *File) grow(n int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.size += n
	close(f.changed)
	f.changed = make(chan struct{})
}

// end marks the body as ended: complete if err is nil, else incomplete because of err. Later calls have no effect.
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

// Abort ends a body that will not be filled any further. It has no effect on a complete body.
func (f *File) Abort() { f.end(io.ErrUnexpectedEOF) }

// Size returns the announced size in bytes or, if none was announced, the number of bytes received so far.
func (f *File) Size() int64 {
	if f.announcedSize >= 0 {
		return f.announcedSize
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.size
}

// Complete reports whether the whole body was received.
func (f *File) Complete() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ended && f.err == nil
}

// ForEachChunk calls handle for each chunk of the body in order, as the chunks are received. A chunk is valid only during
// the call. Last marks the last chunk, which is not passed until the body is complete: a server runs a request once it has
// the last byte, and an incomplete request must not run. The errors are ErrStorage (also if the body ends before it is complete)
// and those of handle.
func (f *File) ForEachChunk(handle func(chunk []byte, last bool) error) error {
	buffer := f.store.AcquireBuffer()
	defer f.store.ReleaseBuffer(buffer)
	offset := int64(0)
	for {
		size, ended, err := f.waitForMore(offset)
		if err != nil {
			return errors.Join(ErrStorage, err)
		}
		if !ended && size == f.announcedSize {
			size-- // withhold the last byte until the body is complete
		}
		n := min(int64(len(buffer)), size-offset)
		if n == 0 && ended {
			return nil
		}
		if n == 0 {
			if _, _, err := f.waitForMore(f.announcedSize); err != nil {
				return errors.Join(ErrStorage, err)
			}
			continue
		}
		if _, err := f.file.ReadAt(buffer[:n], offset); err != nil {
			return errors.Join(ErrStorage, err)
		}
		offset += n
		last := ended && offset == size
		if err := handle(buffer[:n], last); err != nil {
			return err
		}
	}
}

// waitForMore waits until the body has more than offset bytes or has ended. It returns an error if the body has ended
// before it was complete. The wait is bounded, because a body whose sender falls below the minimum rate is ended.
func (f *File) waitForMore(offset int64) (size int64, ended bool, err error) {
	for {
		f.mu.Lock()
		size = f.size
		ended = f.ended
		err = f.err
		changed := f.changed
		f.mu.Unlock()
		if size > offset || ended {
			return size, ended, err
		}
		<-changed
	}
}
