package statefile

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var errKilled = errors.New("killed")

// failingFS simulates a process that is killed at a given step: that step and all later ones fail, and if the step is a write, only the
// first bytes of the file reach the disk.
type failingFS struct {
	OS
	remainingSteps int   // steps that still succeed
	tornBytes      int   // bytes of the interrupted write that reach the disk
	writeErr       error // if set, the error of every write
}

func (f *failingFS) step() error {
	if f.remainingSteps--; f.remainingSteps < 0 {
		return errKilled
	}
	return nil
}

func (f *failingFS) WriteSync(path string, data []byte) error {
	if f.writeErr != nil {
		return f.writeErr
	}
	if err := f.step(); err != nil {
		if f.remainingSteps == -1 {
			_ = os.WriteFile(path, data[:min(f.tornBytes, len(data))], 0o600)
		}
		return err
	}
	return f.OS.WriteSync(path, data)
}

func (f *failingFS) Rename(from, to string) error {
	if err := f.step(); err != nil {
		return err
	}
	return f.OS.Rename(from, to)
}

func (f *failingFS) Remove(path string) error {
	if err := f.step(); err != nil {
		return err
	}
	return f.OS.Remove(path)
}

func (f *failingFS) SyncDir(dir string) error {
	if err := f.step(); err != nil {
		return err
	}
	return f.OS.SyncDir(dir)
}

func load(t *testing.T, dir string) (string, []Skipped) {
	t.Helper()
	data, skipped, err := New(OS{}, dir, "view", 1).Load()
	if err != nil {
		t.Fatal(err)
	}
	return string(data), skipped
}

// A node that starts from a mixture of two states sends requests to servers that no longer exist. If the process is killed at any step
// of a save, also during a write after any number of bytes, the store must load the last state or the one before it.
func TestLoadAfterKillAtEachSaveStep(t *testing.T) {
	for step := range 6 {
		for written := 0; written < 120; written += 7 {
			dir := t.TempDir()
			s := New(OS{}, dir, "view", 1)
			for i := range 4 {
				if err := s.Save([]byte(fmt.Sprintf("state %d", i))); err != nil {
					t.Fatal(err)
				}
			}
			killed := New(&failingFS{remainingSteps: step, tornBytes: written}, dir, "view", 1)
			if _, _, err := killed.Load(); err != nil {
				t.Fatal(err)
			}
			_ = killed.Save([]byte("state 4"))
			got, _ := load(t, dir)
			if got != "state 3" && got != "state 4" || step >= 2 && got != "state 4" {
				t.Fatalf("killed at step %d after %d bytes: loaded %q, want state 4, or state 3 if killed before step 2", step, written, got)
			}
			restarted := New(OS{}, dir, "view", 1)
			if _, _, err := restarted.Load(); err != nil {
				t.Fatal(err)
			}
			if err := restarted.Save([]byte("state 5")); err != nil {
				t.Fatal(err)
			}
			if got, _ := load(t, dir); got != "state 5" {
				t.Fatalf("after the next start: loaded %q, want state 5", got)
			}
		}
	}
}

// If the newest file is truncated at any offset, or any one of its bytes is changed, the generation before it must be loaded.
func TestLoadSkipsDamagedGenerations(t *testing.T) {
	dir := t.TempDir()
	s := New(OS{}, dir, "view", 1)
	for _, data := range []string{"before", "the last state\nwith two lines"} {
		if err := s.Save([]byte(data)); err != nil {
			t.Fatal(err)
		}
	}
	newest := filepath.Join(dir, "view.000000000002")
	content, err := os.ReadFile(newest)
	if err != nil {
		t.Fatal(err)
	}
	for offset := range content {
		for damage, raw := range map[string][]byte{"truncated": content[:offset], "changed": append(append(append([]byte(nil), content[:offset]...), content[offset]^1), content[offset+1:]...)} {
			if err := os.WriteFile(newest, raw, 0o600); err != nil {
				t.Fatal(err)
			}
			if got, skipped := load(t, dir); got != "before" || len(skipped) != 1 || skipped[0].File != newest {
				t.Fatalf("%s at byte %d: loaded %q, skipped %v, want data before and only %s skipped", damage, offset, got, skipped, newest)
			}
		}
	}
}

func TestLoadWithUnusableFilesAndFailedSave(t *testing.T) {
	dir := t.TempDir()
	if _, _, err := New(OS{}, dir, "view", 1).Load(); !errors.Is(err, ErrNoState) {
		t.Errorf("empty directory: error %v, want %v", err, ErrNoState)
	}
	if _, _, err := New(OS{}, filepath.Join(dir, "none"), "view", 1).Load(); err == nil || errors.Is(err, ErrNoState) {
		t.Errorf("missing directory: error %v, want one other than %v", err, ErrNoState)
	}
	s := New(OS{}, dir, "view", 1)
	for i := range 6 {
		if err := s.Save([]byte(fmt.Sprint(i))); err != nil {
			t.Fatal(err)
		}
	}
	names, _ := OS{}.ReadDir(dir)
	if len(names) != KeptGenerations {
		t.Errorf("kept %d generations %v, want %d", len(names), names, KeptGenerations)
	}
	if _, skipped, err := New(OS{}, dir, "view", 2).Load(); !errors.Is(err, ErrNoState) || len(skipped) != KeptGenerations {
		t.Errorf("another version: error %v, skipped %v, want %v and all generations skipped", err, skipped, ErrNoState)
	}
	if err := os.WriteFile(filepath.Join(dir, "view.000000000099"), []byte("something else\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if got, skipped := load(t, dir); got != "5" || len(skipped) != 1 || !strings.Contains(skipped[0].Err.Error(), "unrecognized header") {
		t.Errorf("with a newer file of another kind: loaded %q, skipped %v, want 5 and only that file skipped", got, skipped)
	}
	fullDisk := New(&failingFS{writeErr: errors.New("no space left on device")}, dir, "view", 1)
	if err := fullDisk.Save([]byte("x")); err == nil || !strings.Contains(err.Error(), "no space") {
		t.Errorf("full disk: error %v, want the write error", err)
	}
	if got, _ := load(t, dir); got != "5" {
		t.Errorf("after a failed save: loaded %q, want 5", got)
	}
}
