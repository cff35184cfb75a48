// Package statefile keeps a small piece of state in a folder so that a process killed at any moment finds the last state
// or the one before, never a mixture: each generation is a file of its own, written under another name, flushed, renamed,
// and the folder flushed. What is torn, truncated or foreign is passed over for the generation before.
package statefile

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
)

// Keep is how many generations stay. Two would do for a kill at any moment; the third is for whoever wants to see what
// was before.
const KeptGenerations = 3

// maxBytes bounds what is read: a state of ten thousand servers has four megabytes.
const maxBytes = 64 << 20

const magic = "tackhub-state"

// FS is what the store needs of a file system, so that tests can break it at every step.
type FS interface {
	ReadDir(dir string) ([]string, error)
	ReadFile(path string) ([]byte, error)
	// WriteSync creates a file anew, writes it whole and flushes it.
	WriteSync(path string, data []byte) error
	Rename(from, to string) error
	Remove(path string) error
	SyncDir(dir string) error
}

// Store is one kind of state in one folder.
type Store struct {
	fs      FS
	dir     string
	name    string
	version int
	last    uint64 // generation
}

// ErrNone says that no generation could be used.
var ErrNoState = errors.New("no usable state")

// Skipped is a generation that was passed over, and why.
type Skipped struct {
	File string
	Err  error
}

// New makes a store. States of another version are foreign.
func New(fs FS, dir, name string, version int) *Store {
	return &Store{fs: fs, dir: dir, name: name, version: version}
}

// Load gives the newest generation that is whole, and what was passed over. The error is ErrNone where there is none, or
// says why the folder cannot be read.
func (s *Store) Load() (data []byte, skipped []Skipped, err error) {
	gens, err := s.generations()
	if err != nil {
		return nil, nil, err
	}
	for i, gen := range gens {
		if i == 0 {
			s.last = gen // what comes next must not take a number that stands, whole or not
		}
		raw, err := s.fs.ReadFile(s.path(gen))
		if err == nil {
			data, err = s.open(raw, gen)
		}
		if err == nil {
			return data, skipped, nil
		}
		skipped = append(skipped, Skipped{s.path(gen), err})
	}
	return nil, skipped, ErrNoState
}

// Save writes the next generation and takes the oldest away. After an error the generations before still stand.
func (s *Store) Save(data []byte) error {
	gen := s.last + 1
	temp := filepath.Join(s.dir, s.name+".tmp")
	if err := s.fs.WriteSync(temp, s.seal(data, gen)); err != nil {
		_ = s.fs.Remove(temp) // a full disk is not to stay full for it
		return fmt.Errorf("writing %s: %w", temp, err)
	}
	if err := s.fs.Rename(temp, s.path(gen)); err != nil {
		_ = s.fs.Remove(temp)
		return fmt.Errorf("renaming %s: %w", temp, err)
	}
	s.last = gen
	if err := s.fs.SyncDir(s.dir); err != nil {
		return fmt.Errorf("flushing %s: %w", s.dir, err)
	}
	s.prune()
	return nil
}

// prune takes away all but the newest generations. What cannot be taken away is tried again the next time.
func (s *Store) prune() {
	gens, err := s.generations()
	if err != nil {
		return
	}
	for _, gen := range gens[min(KeptGenerations, len(gens)):] {
		_ = s.fs.Remove(s.path(gen))
	}
}

func (s *Store) path(gen uint64) string {
	return filepath.Join(s.dir, fmt.Sprintf("%s.%012d", s.name, gen))
}

// generations are the numbers of the files that are there, newest first.
func (s *Store) generations() ([]uint64, error) {
	names, err := s.fs.ReadDir(s.dir)
	if err != nil {
		return nil, err
	}
	var out []uint64
	for _, n := range names {
		if text, ok := strings.CutPrefix(n, s.name+"."); ok && len(text) == 12 {
			if gen, err := strconv.ParseUint(text, 10, 64); err == nil {
				out = append(out, gen)
			}
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] > out[j] })
	return out, nil
}

// seal puts a line before the data that tells what it is, how long, and its checksum.
func (s *Store) seal(data []byte, gen uint64) []byte {
	head := fmt.Sprintf("%s %s version=%d generation=%d bytes=%d ", magic, s.name, s.version, gen, len(data))
	return append([]byte(head+"sha256="+sum(head, data)+"\n"), data...)
}

func sum(head string, data []byte) string {
	h := sha256.New()
	_, _ = h.Write([]byte(head)) // a hash takes everything
	_, _ = h.Write(data)
	return hex.EncodeToString(h.Sum(nil))
}

// open checks a file and gives its data.
func (s *Store) open(raw []byte, gen uint64) ([]byte, error) {
	line, data, ok := bytes.Cut(raw, []byte("\n"))
	if !ok {
		return nil, errors.New("no first line: torn")
	}
	head, check, ok := strings.Cut(string(line), "sha256=")
	if !ok || !strings.HasPrefix(head, magic+" "+s.name+" ") {
		return nil, errors.New("a foreign file")
	}
	want := fmt.Sprintf("%s %s version=%d generation=%d bytes=%d ", magic, s.name, s.version, gen, len(data))
	switch {
	case head != want:
		return nil, fmt.Errorf("its first line is %q, %q is wanted: torn, or of another version", strings.TrimSpace(head), strings.TrimSpace(want))
	case sum(head, data) != check:
		return nil, errors.New("its checksum differs")
	}
	return data, nil
}

// OS is the machine's file system.
type OS struct{}

// ReadDir gives the names in a folder.
func (OS) ReadDir(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	out := make([]string, len(entries))
	for i, e := range entries {
		out[i] = e.Name()
	}
	return out, nil
}

// ReadFile reads a file of a bounded size.
func (OS) ReadFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxBytes {
		return nil, fmt.Errorf("%d bytes, %d at most", info.Size(), maxBytes)
	}
	return os.ReadFile(path)
}

// WriteSync writes a file and flushes it.
func (OS) WriteSync(path string, data []byte) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}

// Rename moves a file within its folder.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove takes a file away.
func (OS) Remove(path string) error { return os.Remove(path) }

// SyncDir flushes a folder.
func (OS) SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}
