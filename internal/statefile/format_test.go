package statefile

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// After an upgrade a node loads the state that the previous version saved. If the format changed by accident, the node would skip
// every generation and start without state. testdata/view was written by Store.Save before the packages were renamed (December
// 2026) and must never be regenerated: if Load no longer accepts it, Load is at fault.

// goldenStates are the saved data, oldest first. testdata/view contains all but the first, which was pruned.
var goldenStates = [][]byte{
	[]byte(`{"servers":3}`),
	[]byte("two lines\nand no end of the second"),
	{},
	[]byte("{\"saved\":\"2026-12-03T06:00:00Z\",\"members\":[]}\n\x00\xff"),
}

var goldenFiles = []string{"view.000000000002", "view.000000000003", "view.000000000004"}

func TestLoadReadsGoldenFiles(t *testing.T) {
	dir := filepath.Join("testdata", "view")
	data, skipped, err := New(OS{}, dir, "view", 1).Load()
	if err != nil || len(skipped) != 0 {
		t.Fatalf("Load: error = %v, skipped = %v, want neither", err, skipped)
	}
	if want := goldenStates[3]; !bytes.Equal(data, want) {
		t.Errorf("Load = %q, want %q", data, want)
	}
	for i, name := range goldenFiles { // each generation as the only one in its directory
		ownDir := t.TempDir()
		raw, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(ownDir, name), raw, 0o600); err != nil {
			t.Fatal(err)
		}
		data, skipped, err := New(OS{}, ownDir, "view", 1).Load()
		if want := goldenStates[i+1]; err != nil || len(skipped) != 0 || !bytes.Equal(data, want) {
			t.Errorf("%s: Load = %q (%v, skipped %v), want %q", name, data, err, skipped, want)
		}
	}
	if _, skipped, err := New(OS{}, dir, "other", 1).Load(); !errors.Is(err, ErrNoState) || len(skipped) != 0 {
		t.Errorf("Load with another name: error = %v, skipped = %v, want %v and none skipped", err, skipped, ErrNoState)
	}
}

func TestSaveWritesGoldenFiles(t *testing.T) {
	dir := t.TempDir()
	s := New(OS{}, dir, "view", 1)
	for _, data := range goldenStates {
		if err := s.Save(data); err != nil {
			t.Fatal(err)
		}
	}
	names, err := OS{}.ReadDir(dir)
	if err != nil || len(names) != len(goldenFiles) {
		t.Fatalf("saved files = %v (error %v), want %v", names, err, goldenFiles)
	}
	for i, name := range goldenFiles {
		if names[i] != name {
			t.Errorf("file name = %s, want %s", names[i], name)
		}
		got, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil {
			t.Fatal(err)
		}
		want, err := os.ReadFile(filepath.Join("testdata", "view", name))
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(got, want) {
			t.Errorf("%s: wrote %q, want %q", name, got, want)
		}
	}
}
