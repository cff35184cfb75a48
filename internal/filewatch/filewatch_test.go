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

func TestTracker(t *testing.T) {
	t0 := time.Unix(1000, 0)
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	file := func(inode uint64, size int64, mod int) FileState {
		return FileState{Exists: true, Size: size, ModTime: at(mod), Inode: inode}
	}
	for _, c := range []struct {
		name   string
		atOnce bool
		looks  []FileState
		times  []int
		want   []Action // a Read is taken
	}{
		{"old at the start", false, []FileState{file(1, 5, -900)}, []int{0}, []Action{ReadNow}},
		{"read once", false, []FileState{file(1, 5, -900), file(1, 5, -900)}, []int{0, 50}, []Action{ReadNow, Unchanged}},
		{"grows, then settles", false, []FileState{file(1, 5, -900), file(1, 7, 10), file(1, 9, 60), file(1, 9, 60), file(1, 9, 60)},
			[]int{0, 11, 61, 120, 161}, []Action{ReadNow, WaitForSettle, WaitForSettle, WaitForSettle, ReadNow}},
		{"renamed, old inside", false, []FileState{file(1, 5, -900), file(2, 5, -200)}, []int{0, 10}, []Action{ReadNow, ReadNow}},
		{"renamed, fresh", false, []FileState{file(1, 5, -900), file(2, 5, 9), file(2, 5, 9)}, []int{0, 10, 109}, []Action{ReadNow, WaitForSettle, ReadNow}},
		{"renamed, fresh, tells by itself", true, []FileState{file(1, 5, -900), file(2, 5, 9)}, []int{0, 10}, []Action{ReadNow, ReadNow}},
		{"written in place, tells by itself", true, []FileState{file(1, 5, -900), file(1, 6, 9)}, []int{0, 10}, []Action{ReadNow, WaitForSettle}},
		{"truncated, with its old time still", false, []FileState{file(1, 5, -900), file(1, 0, -900), file(1, 0, 3), file(1, 7, 4), file(1, 7, 4)},
			[]int{0, 1, 3, 5, 105}, []Action{ReadNow, WaitForSettle, WaitForSettle, WaitForSettle, ReadNow}},
		{"gone and back as it was", false, []FileState{file(1, 5, -900), {}, file(1, 5, -900)}, []int{0, 10, 20}, []Action{ReadNow, Missing, Unchanged}},
		{"a clock set back", false, []FileState{file(1, 5, 9_000_000), file(1, 5, 9_000_000)}, []int{0, 100}, []Action{WaitForSettle, ReadNow}},
	} {
		tr := Tracker{Settle: 100 * time.Millisecond, SelfVerifying: c.atOnce}
		for i, l := range c.looks {
			got, due := tr.Observe(at(c.times[i]), l)
			if got != c.want[i] || (got == WaitForSettle) != due.After(at(c.times[i])) {
				t.Errorf("%s, look %d: %v until %v, want %v", c.name, i, got, due, c.want[i])
			}
			if got == ReadNow {
				tr.MarkRead(l)
			}
		}
	}
}

const patience = 10 * time.Second

// follow runs a watcher and gives what it tells.
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
			t.Fatalf("never told: %q", text)
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

// Renames, a folder that comes late or is replaced, links that are switched, a missing file: each is seen, by
// notification or by polling.
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

// A file that is written in place, slowly, is read only as it stands before or after.
func TestNeverHalf(t *testing.T) {
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
				t.Fatal("never read whole")
			}
		}
	}
}
