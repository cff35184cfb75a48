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

const eventTimeout = 10 * time.Second

// startWatcher runs a watcher until the end of the test and returns its events.
func startWatcher(t *testing.T, o Options) <-chan Event {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	events, done := make(chan Event, 1000), make(chan struct{})
	go func() {
		defer close(done)
		Run(ctx, o, func(event Event) { events <- event })
	}()
	t.Cleanup(func() { cancel(); <-done })
	return events
}

// waitForEvent waits for an event whose data or error contains the text.
func waitForEvent(t *testing.T, events <-chan Event, text string) {
	t.Helper()
	timeout := time.After(eventTimeout)
	for {
		select {
		case event := <-events:
			got := string(event.Data)
			if event.Err != nil {
				got = event.Err.Error()
			}
			if strings.Contains(got, text) {
				return
			}
		case <-timeout:
			t.Fatalf("got no event with %q within %v", text, eventTimeout)
		}
	}
}

// replaceFile replaces a file by a rename.
func replaceFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path+".tmp", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".tmp", path); err != nil {
		t.Fatal(err)
	}
}

// A renamed file, a directory that is created late or replaced, a switched symbolic link and a missing file must each be reported, by
// a notification or by polling.
func TestRunReportsReplacedAndMissingFiles(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "late")
	path := filepath.Join(dir, "list.csv")
	events := startWatcher(t, Options{Path: path, Settle: 10 * time.Millisecond, PollInterval: 20 * time.Millisecond, MaxBytes: 100})
	waitForEvent(t, events, "does not exist")
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	replaceFile(t, path, "one")
	waitForEvent(t, events, "one")
	replaceFile(t, path, "two")
	waitForEvent(t, events, "two")
	if err := os.Rename(dir, dir+".old"); err != nil {
		t.Fatal(err)
	}
	waitForEvent(t, events, "does not exist")
	for _, name := range []string{"..v1", "..v2"} { // the layout of configuration mounts
		if err := os.MkdirAll(filepath.Join(dir, name), 0o700); err != nil {
			t.Fatal(err)
		}
		replaceFile(t, filepath.Join(dir, name, "list.csv"), "mounted "+name)
	}
	dataLink := filepath.Join(dir, "..data")
	if err := os.Symlink("..v1", dataLink); err != nil {
		t.Fatal(err)
	}
	if err := os.Symlink("..data/list.csv", path); err != nil {
		t.Fatal(err)
	}
	waitForEvent(t, events, "mounted ..v1")
	if err := os.Symlink("..v2", dataLink+".tmp"); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(dataLink+".tmp", dataLink); err != nil {
		t.Fatal(err)
	}
	waitForEvent(t, events, "mounted ..v2")
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	replaceFile(t, path, strings.Repeat("x", 101))
	waitForEvent(t, events, "file size 101 bytes exceeds the limit of 100 bytes")
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(path, 0o700); err != nil {
		t.Fatal(err)
	}
	waitForEvent(t, events, "is not a regular file")
}

// A file that is written slowly in place must be read only in its state before or after the write. Reading half of a list of servers
// would take the other half out of service.
func TestRunNeverReadsPartlyWrittenFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list.csv")
	content := func(i int) string { return strings.Repeat(fmt.Sprintf("row %d\n", i), 200) }
	replaceFile(t, path, content(0))
	events := startWatcher(t, Options{Path: path, Settle: 500 * time.Millisecond, PollInterval: 5 * time.Millisecond, MaxBytes: 1 << 20})
	waitForEvent(t, events, "row 0")
	for i := 1; i <= 3; i++ {
		file, err := os.Create(path)
		if err != nil {
			t.Fatal(err)
		}
		remaining := content(i)
		for len(remaining) > 0 {
			n := min(200, len(remaining))
			if _, err := file.WriteString(remaining[:n]); err != nil {
				t.Fatal(err)
			}
			remaining = remaining[n:]
			time.Sleep(2 * time.Millisecond) // between writes, well below the settle time
		}
		if err := file.Close(); err != nil {
			t.Fatal(err)
		}
		timeout := time.After(eventTimeout)
		for got := ""; got != content(i); {
			select {
			case event := <-events:
				if got = string(event.Data); event.Err != nil || got != content(i) && got != content(i-1) {
					t.Fatalf("read %d bytes (error %v), want all %d bytes of one version", len(got), event.Err, len(content(i)))
				}
			case <-timeout:
				t.Fatalf("version %d was not read completely within %v", i, eventTimeout)
			}
		}
	}
}
