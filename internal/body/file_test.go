package body

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"tackhub.example/tackhub/internal/counters"
)

// On a full disk, writing a body fails with ENOSPC. Fill and ForEachChunk must both return the error, and ForEachChunk must not
// pass on a last chunk.
func TestFillReportsFullDiskToReaders(t *testing.T) {
	count := &counters.Bodies{}
	f, err := New(t.TempDir(), 1, 2, nil, count).Create(BufferSize*2, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	fullDevice, err := os.OpenFile("/dev/full", os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	_ = f.file.Close()
	f.file = fullDevice
	readErr := make(chan error, 1)
	go func() {
		readErr <- f.ForEachChunk(func(_ []byte, last bool) error {
			if last {
				t.Error("ForEachChunk passed a last chunk of an incomplete body, want none")
			}
			return nil
		})
	}()
	complete, err := f.Fill(strings.NewReader(strings.Repeat("x", BufferSize*2)), nil, nil)
	if complete || !errors.Is(err, ErrStorage) || !errors.Is(err, syscall.ENOSPC) {
		t.Errorf("Fill = %v, %v, want false and ErrStorage with ENOSPC", complete, err)
	}
	if err := <-readErr; !errors.Is(err, ErrStorage) {
		t.Errorf("ForEachChunk: error = %v, want ErrStorage", err)
	}
	f.Release()
	if count.Files.Get() != 0 || count.Buffers.Get() != 0 {
		t.Errorf("after Release: %d files and %d buffers in use, want 0 and 0", count.Files.Get(), count.Buffers.Get())
	}
}

// A stored body cannot be read back because its file was closed. ForEachChunk must not treat the error as the end of the body.
func TestForEachChunkReportsReadError(t *testing.T) {
	f, err := New(t.TempDir(), 1, 2, nil, &counters.Bodies{}).Create(10, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if complete, err := f.Fill(strings.NewReader("0123456789"), nil, nil); !complete || err != nil {
		t.Fatalf("Fill = %v, %v, want true, nil", complete, err)
	}
	_ = f.file.Close()
	if err := f.ForEachChunk(func([]byte, bool) error { return nil }); !errors.Is(err, ErrStorage) {
		t.Errorf("ForEachChunk: error = %v, want ErrStorage", err)
	}
}

// The directory for bodies is missing. Every Create must fail with ErrStorage and release the file slot that it took.
func TestCreateReleasesCapacityWhenDirectoryIsMissing(t *testing.T) {
	count := &counters.Bodies{}
	s := New(filepath.Join(t.TempDir(), "gone"), 1, 1, nil, count)
	for range 3 { // a slot that is not released makes the next Create fail with ErrNoCapacity
		if _, err := s.Create(100<<10, time.Second); !errors.Is(err, ErrStorage) {
			t.Errorf("Create: error = %v, want ErrStorage", err)
		}
	}
	if count.Files.Get() != 0 {
		t.Errorf("files in use = %d, want 0", count.Files.Get())
	}
}

// An attempt is started just after the request has ended and its body was released. The body was once released a second time when the
// attempt ended: its slot was given back twice, and memory that others used counted as free.
func TestReleasedBodyIsNotReleasedAgain(t *testing.T) {
	count := &counters.Bodies{}
	s := New(t.TempDir(), 2, 2, nil, count)
	other, err := s.Create(10, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Release()
	f, err := s.Create(10, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	f.Release()
	f.Retain()
	f.Release()
	if files := count.Files.Get(); files != 1 {
		t.Errorf("files in use = %d, want 1", files)
	}
}
