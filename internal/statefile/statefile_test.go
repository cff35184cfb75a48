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

// failingFS is a file system on which the process dies at a step: nothing after it happens, and a write in it is torn.
type failingFS struct {
	OS
	stepsLeft int // steps that still succeed
	tornBytes int // bytes of the last write that reach the disk
	writeErr  error
}

func (m *failingFS) step() error {
	if m.stepsLeft--; m.stepsLeft < 0 {
		return errKilled
	}
	return nil
}

func (m *failingFS) WriteSync(path string, data []byte) error {
	if m.writeErr != nil {
		return m.writeErr
	}
	if err := m.step(); err != nil {
		if m.stepsLeft == -1 {
			_ = os.WriteFile(path, data[:min(m.tornBytes, len(data))], 0o600)
		}
		return err
	}
	return m.OS.WriteSync(path, data)
}

func (m *failingFS) Rename(from, to string) error {
	if err := m.step(); err != nil {
		return err
	}
	return m.OS.Rename(from, to)
}

func (m *failingFS) Remove(path string) error {
	if err := m.step(); err != nil {
		return err
	}
	return m.OS.Remove(path)
}

func (m *failingFS) SyncDir(dir string) error {
	if err := m.step(); err != nil {
		return err
	}
	return m.OS.SyncDir(dir)
}

func load(t *testing.T, dir string) (string, []Skipped) {
	t.Helper()
	data, skipped, err := New(OS{}, dir, "view", 1).Load()
	if err != nil {
		t.Fatal(err)
	}
	return string(data), skipped
}

// A process may be killed at any moment, also in the middle of a write, and a node that starts from a mixture of two states sends
// requests to servers that are gone. Killed at each step of a save, with each length of a torn write, the store finds the last
// state or the one before.
func TestKilledAtEachStep(t *testing.T) {
	for step := range 6 {
		for torn := 0; torn < 120; torn += 7 {
			dir := t.TempDir()
			s := New(OS{}, dir, "view", 1)
			for i := range 4 {
				if err := s.Save([]byte(fmt.Sprintf("state %d", i))); err != nil {
					t.Fatal(err)
				}
			}
			dying := New(&failingFS{stepsLeft: step, tornBytes: torn}, dir, "view", 1)
			if _, _, err := dying.Load(); err != nil {
				t.Fatal(err)
			}
			_ = dying.Save([]byte("state 4"))
			got, _ := load(t, dir)
			if got != "state 3" && got != "state 4" || step >= 2 && got != "state 4" {
				t.Fatalf("killed at step %d after %d bytes: %q", step, torn, got)
			}
			again := New(OS{}, dir, "view", 1)
			if _, _, err := again.Load(); err != nil {
				t.Fatal(err)
			}
			if err := again.Save([]byte("state 5")); err != nil {
				t.Fatal(err)
			}
			if got, _ := load(t, dir); got != "state 5" {
				t.Fatalf("after the next start: %q", got)
			}
		}
	}
}

// The newest file, truncated at any offset or with any byte changed, is skipped for the one before.
func TestSkipsDamagedGenerations(t *testing.T) {
	dir := t.TempDir()
	s := New(OS{}, dir, "view", 1)
	for _, data := range []string{"before", "the last state\nwith two lines"} {
		if err := s.Save([]byte(data)); err != nil {
			t.Fatal(err)
		}
	}
	newest := filepath.Join(dir, "view.000000000002")
	whole, err := os.ReadFile(newest)
	if err != nil {
		t.Fatal(err)
	}
	for n := range whole {
		for kind, raw := range map[string][]byte{"truncated": whole[:n], "changed": append(append(append([]byte(nil), whole[:n]...), whole[n]^1), whole[n+1:]...)} {
			if err := os.WriteFile(newest, raw, 0o600); err != nil {
				t.Fatal(err)
			}
			if got, skipped := load(t, dir); got != "before" || len(skipped) != 1 || skipped[0].File != newest {
				t.Fatalf("%s at %d: %q, skipped %v", kind, n, got, skipped)
			}
		}
	}
}

func TestForeignFilesAndFailedWrites(t *testing.T) {
	dir := t.TempDir()
	if _, _, err := New(OS{}, dir, "view", 1).Load(); !errors.Is(err, ErrNoState) {
		t.Errorf("an empty folder: %v", err)
	}
	if _, _, err := New(OS{}, filepath.Join(dir, "none"), "view", 1).Load(); err == nil || errors.Is(err, ErrNoState) {
		t.Errorf("a missing folder: %v", err)
	}
	s := New(OS{}, dir, "view", 1)
	for i := range 6 {
		if err := s.Save([]byte(fmt.Sprint(i))); err != nil {
			t.Fatal(err)
		}
	}
	names, _ := OS{}.ReadDir(dir)
	if len(names) != KeptGenerations {
		t.Errorf("%d generations are kept: %v", len(names), names)
	}
	if _, skipped, err := New(OS{}, dir, "view", 2).Load(); !errors.Is(err, ErrNoState) || len(skipped) != KeptGenerations {
		t.Errorf("another version was read: %v %v", skipped, err)
	}
	if err := os.WriteFile(filepath.Join(dir, "view.000000000099"), []byte("something else\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if got, skipped := load(t, dir); got != "5" || len(skipped) != 1 || !strings.Contains(skipped[0].Err.Error(), "foreign") {
		t.Errorf("beside a foreign file: %q %v", got, skipped)
	}
	full := New(&failingFS{writeErr: errors.New("no space left on device")}, dir, "view", 1)
	if err := full.Save([]byte("x")); err == nil || !strings.Contains(err.Error(), "no space") {
		t.Errorf("a full disk: %v", err)
	}
	if got, _ := load(t, dir); got != "5" {
		t.Errorf("after a failed save: %q", got)
	}
}
