package body

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"tackhub.example/tackhub/internal/counters"
)

// TestFullDisk: the disk is full, and writing a body fails with ENOSPC. Both the filler and a reader get the error, and the
// last chunk is never passed on.
func TestFullDisk(t *testing.T) {
	count := &counters.Bodies{}
	f, err := New(t.TempDir(), 1, 2, count).Create(BufferSize * 2)
	if err != nil {
		t.Fatal(err)
	}
	full, err := os.OpenFile("/dev/full", os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	_ = f.file.Close()
	f.file = full
	read := make(chan error, 1)
	go func() {
		read <- f.ForEachChunk(func(_ []byte, last bool) error {
			if last {
				t.Error("the last chunk of an incomplete body was passed on")
			}
			return nil
		})
	}()
	complete, err := f.Fill(strings.NewReader(strings.Repeat("x", BufferSize*2)), nil, nil)
	if complete || !errors.Is(err, ErrStorage) || !errors.Is(err, syscall.ENOSPC) {
		t.Errorf("complete %v, %v", complete, err)
	}
	if err := <-read; !errors.Is(err, ErrStorage) {
		t.Errorf("the reader got %v", err)
	}
	f.Release()
	if count.Files.Get() != 0 || count.Buffers.Get() != 0 {
		t.Error("capacity is lost")
	}
}

// TestReadFails: a stored body cannot be read back. The error must not pass for its end.
func TestReadFails(t *testing.T) {
	f, err := New(t.TempDir(), 1, 2, &counters.Bodies{}).Create(10)
	if err != nil {
		t.Fatal(err)
	}
	if complete, err := f.Fill(strings.NewReader("0123456789"), nil, nil); !complete || err != nil {
		t.Fatal(complete, err)
	}
	_ = f.file.Close()
	if err := f.ForEachChunk(func([]byte, bool) error { return nil }); !errors.Is(err, ErrStorage) {
		t.Errorf("%v, want ErrStorage", err)
	}
}

// TestMissingDirectory: the directory for bodies is gone. Every attempt fails the same way, and no capacity is lost.
func TestMissingDirectory(t *testing.T) {
	count := &counters.Bodies{}
	s := New(filepath.Join(t.TempDir(), "gone"), 1, 1, count)
	for range 3 { // a place that is not given back would show as ErrNoCapacity
		if _, err := s.Create(100 << 10); !errors.Is(err, ErrStorage) {
			t.Errorf("%v, want ErrStorage", err)
		}
	}
	if count.Files.Get() != 0 {
		t.Error("capacity is lost")
	}
}
