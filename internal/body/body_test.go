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

// TestFullDisk has the write of a body fail with ENOSPC: whoever reads it in is told so, and so is whoever follows it, before the
// last byte can go on.
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
	followed := make(chan error, 1)
	go func() {
		followed <- f.ForEachChunk(func(_ []byte, last bool) error {
			if last {
				t.Error("the last piece was given, though the body was not kept")
			}
			return nil
		})
	}()
	whole, err := f.Fill(strings.NewReader(strings.Repeat("x", BufferSize*2)), nil, nil)
	if whole || !errors.Is(err, ErrStorage) || !errors.Is(err, syscall.ENOSPC) {
		t.Errorf("whole %v, %v", whole, err)
	}
	if err := <-followed; !errors.Is(err, ErrStorage) {
		t.Errorf("who follows it heard %v", err)
	}
	f.Release()
	if count.Files.Get() != 0 || count.Buffers.Get() != 0 {
		t.Error("room is lost")
	}
}

// TestReadFails has reading a kept body back fail: nothing passes for its end.
func TestReadFails(t *testing.T) {
	f, err := New(t.TempDir(), 1, 2, &counters.Bodies{}).Create(10)
	if err != nil {
		t.Fatal(err)
	}
	if whole, err := f.Fill(strings.NewReader("0123456789"), nil, nil); !whole || err != nil {
		t.Fatal(whole, err)
	}
	_ = f.file.Close()
	if err := f.ForEachChunk(func([]byte, bool) error { return nil }); !errors.Is(err, ErrStorage) {
		t.Errorf("%v, want that it cannot be kept", err)
	}
}

func TestFolderThatIsGone(t *testing.T) {
	count := &counters.Bodies{}
	s := New(filepath.Join(t.TempDir(), "gone"), 1, 1, count)
	for range 3 { // a place that is not given back would show as no room
		if _, err := s.Create(100 << 10); !errors.Is(err, ErrStorage) {
			t.Errorf("%v, want that it cannot be kept", err)
		}
	}
	if count.Files.Get() != 0 {
		t.Error("room is lost")
	}
}
