package filewatch

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const patience = 10 * time.Second

// follow runs a watcher and returns its events.
func follow(t *testing.T, o Options) <-chan Event {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	out, ended := make(chan Event, 1000), make(chan struct{})
	go func() {
		defer close(ended)
		Run(ctx, o, func(s Event) { out <- s })
	}()
	t.Cleanup(func() { cancel(); <-ended })
	return out
}

func want(t *testing.T, from <-chan Event, text string) {
	t.Helper()
	end := time.After(patience)
	for {
		select {
		case s := <-from:
			got := string(s.Data)
			if s.Err != nil {
				got = s.Err.Error()
			}
			if strings.Contains(got, text) {
				return
			}
		case <-end:
			t.Fatalf("no event with %q", text)
		}
	}
}

func put(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path+".tmp", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".tmp", path); err != nil {
		t.Fatal(err)
	}
}

// Renames, a folder that comes late or is replaced, links that are switched, a missing file: each shows, by notification or
// by polling.
func TestWhatHappensToFiles(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "late")
	path := filepath.Join(dir, "list.csv")
	seen := follow(t, Options{Path: path, Settle: 10 * time.Millisecond, PollInterval: 20 * time.Millisecond, MaxBytes: 100})
	want(t, seen, "is not there")
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	put(t, path, "one")
	want(t, seen, "one")
	put(t, path, "two")
	want(t, seen, "two")
	if err := os.Rename(dir, dir+".old"); err != nil {
		t.Fatal(err)
	}
	want(t, seen, "is not there")
	for _, name := range []string{"..v1", "..v2"} { // as configuration mounts keep them
		if err := os.MkdirAll(filepath.Join(dir, name), 0o700); err != nil {
			t.Fatal(err)
		}
		put(t, filepath.Join(dir, name, "list.csv"), "mounted "+name)
	}
	data := filepath.Join(dir, "..data")
	if err := os.Symlink("..v1", data); err != nil {
		t.Fatal(err)
	}
	if err := os.Symlink("..data/list.csv", path); err != nil {
		t.Fatal(err)
	}
	want(t, seen, "mounted ..v1")
	if err := os.Symlink("..v2", data+".tmp"); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(data+".tmp", data); err != nil {
		t.Fatal(err)
	}
	want(t, seen, "mounted ..v2")
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	put(t, path, strings.Repeat("x", 101))
	want(t, seen, "101 bytes, 100 at most")
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(path, 0o700); err != nil {
		t.Fatal(err)
	}
	want(t, seen, "no plain file")
}

// A file that is written in place, slowly, is read only as it was before or is after. Half of a list of servers would take
// the other half out of service.
func TestNeverReadsHalfAFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list.csv")
	whole := func(i int) string { return strings.Repeat(fmt.Sprintf("row %d\n", i), 200) }
	put(t, path, whole(0))
	seen := follow(t, Options{Path: path, Settle: 500 * time.Millisecond, PollInterval: 5 * time.Millisecond, MaxBytes: 1 << 20})
	want(t, seen, "row 0")
	for i := 1; i <= 3; i++ {
		f, err := os.Create(path)
		if err != nil {
			t.Fatal(err)
		}
		text := whole(i)
		for len(text) > 0 {
			n := min(200, len(text))
			if _, err := f.WriteString(text[:n]); err != nil {
				t.Fatal(err)
			}
			text = text[n:]
			time.Sleep(2 * time.Millisecond) // the writer's pace, well under the settle time
		}
		if err := f.Close(); err != nil {
			t.Fatal(err)
		}
		end := time.After(patience)
		for got := ""; got != whole(i); {
			select {
			case s := <-seen:
				if got = string(s.Data); s.Err != nil || got != whole(i) && got != whole(i-1) {
					t.Fatalf("read %d bytes of %d, %v", len(got), len(whole(i)), s.Err)
				}
			case <-end:
				t.Fatal("never read completely")
			}
		}
	}
}
