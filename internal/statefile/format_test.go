package statefile

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// A node that is upgraded finds what the version before it saved. Were the format changed unnoticed, it would pass over
// every generation as foreign and start with nothing. testdata/view was written by Store.Save as it stood before the
// packages' names were revised (December 2026) and is never written anew: a reader that no longer accepts it is the fault.

// formatStates are the data of the generations in testdata/view, oldest first.
var formatStates = [][]byte{
	[]byte(`{"servers":3}`),
	[]byte("two lines\nand no end of the second"),
	{},
	[]byte("{\"saved\":\"2026-12-03T06:00:00Z\",\"members\":[]}\n\x00\xff"),
}

var formatFiles = []string{"view.000000000002", "view.000000000003", "view.000000000004"}

func TestSavedFormatIsRead(t *testing.T) {
	dir := filepath.Join("testdata", "view")
	data, skipped, err := New(OS{}, dir, "view", 1).Load()
	if err != nil || len(skipped) != 0 {
		t.Fatalf("load: %v, skipped %v", err, skipped)
	}
	if want := formatStates[3]; !bytes.Equal(data, want) {
		t.Errorf("read %q, want %q", data, want)
	}
	for i, name := range formatFiles { // the older generations, each as the only one in its folder
		alone := t.TempDir()
		raw, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(alone, name), raw, 0o600); err != nil {
			t.Fatal(err)
		}
		data, skipped, err := New(OS{}, alone, "view", 1).Load()
		if want := formatStates[i+1]; err != nil || len(skipped) != 0 || !bytes.Equal(data, want) {
			t.Errorf("%s: read %q (%v, skipped %v), want %q", name, data, err, skipped, want)
		}
	}
	if _, skipped, err := New(OS{}, dir, "other", 1).Load(); !errors.Is(err, ErrNoState) || len(skipped) != 0 {
		t.Errorf("another kind of state: %v, skipped %v", err, skipped)
	}
}

func TestSavedFormatIsWritten(t *testing.T) {
	dir := t.TempDir()
	s := New(OS{}, dir, "view", 1)
	for _, data := range formatStates {
		if err := s.Save(data); err != nil {
			t.Fatal(err)
		}
	}
	names, err := OS{}.ReadDir(dir)
	if err != nil || len(names) != len(formatFiles) {
		t.Fatalf("files %v (%v), want %v", names, err, formatFiles)
	}
	for i, name := range formatFiles {
		if names[i] != name {
			t.Errorf("file %s, want %s", names[i], name)
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
