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

// mortal is a file system on which the process dies at a step: nothing after it happens, and the write at it is torn.
type mortal struct {
	OS
	left int // steps before the end
	torn int // bytes of the last write that reach the disk
	fail error
}

func (m *mortal) step() error {
	if m.left--; m.left < 0 {
		return errKilled
	}
	return nil
}

func (m *mortal) WriteSync(path string, data []byte) error {
	if m.fail != nil {
		return m.fail
	}
	if err := m.step(); err != nil {
		if m.left == -1 {
			_ = os.WriteFile(path, data[:min(m.torn, len(data))], 0o600)
		}
		return err
	}
	return m.OS.WriteSync(path, data)
}

func (m *mortal) Rename(from, to string) error {
	if err := m.step(); err != nil {
		return err
	}
	return m.OS.Rename(from, to)
}

func (m *mortal) Remove(path string) error {
	if err := m.step(); err != nil {
		return err
	}
	return m.OS.Remove(path)
}

func (m *mortal) SyncDir(dir string) error {
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

// Killed at each step of a save, with each length of a torn write: the last state or the one before, never a mixture.
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
			dying := New(&mortal{left: step, torn: torn}, dir, "view", 1)
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

// The newest file truncated at every offset, or with any byte changed, is passed over for the one before.
func TestTruncatedAndChanged(t *testing.T) {
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
				t.Fatalf("%s at %d: %q, passed over %v", kind, n, got, skipped)
			}
		}
	}
}

func TestForeignAndFailing(t *testing.T) {
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
		t.Errorf("another version was taken: %v %v", skipped, err)
	}
	if err := os.WriteFile(filepath.Join(dir, "view.000000000099"), []byte("something else\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if got, skipped := load(t, dir); got != "5" || len(skipped) != 1 || !strings.Contains(skipped[0].Err.Error(), "foreign") {
		t.Errorf("beside a foreign file: %q %v", got, skipped)
	}
	full := New(&mortal{fail: errors.New("no space left on device")}, dir, "view", 1)
	if err := full.Save([]byte("x")); err == nil || !strings.Contains(err.Error(), "no space") {
		t.Errorf("a full disk: %v", err)
	}
	if got, _ := load(t, dir); got != "5" {
		t.Errorf("after a failed save: %q", got)
	}
}
