// Package statefile keeps a small state in a folder, such that a process that was killed at any moment finds its last state
// or the one before, never a mixture. Each generation is a file of its own: it is written under another name, synced and
// renamed, and the folder is synced. A generation that is torn, truncated or foreign is skipped for the one before.
package statefile

import (
	"errors"
	"fmt"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
)

// KeptGenerations is how many generations stay. Two suffice for a kill at any moment; the third shows what was before.
const KeptGenerations = 3

// generationDigits is the width of the number in a file's name.
const generationDigits = 12

// ErrNoState says that no generation can be used.
var ErrNoState = errors.New("no usable state")

// Store is one kind of state in one folder. It is not safe for concurrent use.
type Store struct {
	fs      FS
	dir     string
	name    string
	version int
	last    uint64 // the newest generation, usable or not; 0: none is known
}

// Skipped is a generation that cannot be used, and why.
type Skipped struct {
	File string
	Err  error
}

// New returns a store for states of a name in a folder. States of another version are foreign to it.
func New(fs FS, dir, name string, version int) *Store {
	return &Store{fs: fs, dir: dir, name: name, version: version}
}

// Load returns the newest usable generation, and the newer ones that were skipped. The error is ErrNoState if none can be
// used, or says why the folder cannot be read.
func (s *Store) Load() (data []byte, skipped []Skipped, err error) {
	generations, err := s.generations()
	if err != nil {
		return nil, nil, err
	}
	if len(generations) > 0 {
		s.last = generations[0] // the next one must not take the number of a file that exists, usable or not
	}
	for _, generation := range generations {
		data, err := s.read(generation)
		if err == nil {
			return data, skipped, nil
		}
		skipped = append(skipped, Skipped{File: s.path(generation), Err: err})
	}
	return nil, skipped, ErrNoState
}

// read returns the data of one generation.
func (s *Store) read(generation uint64) ([]byte, error) {
	raw, err := s.fs.ReadFile(s.path(generation))
	if err != nil {
		return nil, err
	}
	return s.decode(raw, generation)
}

// Save writes the next generation and removes the oldest. After an error the earlier generations are still there.
func (s *Store) Save(data []byte) error {
	generation := s.last + 1
	temp := filepath.Join(s.dir, s.name+".tmp")
	if err := s.fs.WriteSync(temp, s.encode(data, generation)); err != nil {
		_ = s.fs.Remove(temp) // a full disk must not stay full because of it
		return fmt.Errorf("writing %s: %w", temp, err)
	}
	if err := s.fs.Rename(temp, s.path(generation)); err != nil {
		_ = s.fs.Remove(temp)
		return fmt.Errorf("renaming %s: %w", temp, err)
	}
	s.last = generation
	if err := s.fs.SyncDir(s.dir); err != nil {
		return fmt.Errorf("flushing %s: %w", s.dir, err)
	}
	s.prune()
	return nil
}

// prune removes all but the newest generations. What cannot be removed is tried again after the next save.
func (s *Store) prune() {
	generations, err := s.generations()
	if err != nil {
		return
	}
	for _, generation := range generations[min(KeptGenerations, len(generations)):] {
		_ = s.fs.Remove(s.path(generation))
	}
}

func (s *Store) path(generation uint64) string {
	return filepath.Join(s.dir, fmt.Sprintf("%s.%0*d", s.name, generationDigits, generation))
}

// generations are the numbers of the files in the folder, newest first.
func (s *Store) generations() ([]uint64, error) {
	names, err := s.fs.ReadDir(s.dir)
	if err != nil {
		return nil, err
	}
	var generations []uint64
	for _, name := range names {
		digits, ours := strings.CutPrefix(name, s.name+".")
		if !ours || len(digits) != generationDigits {
			continue
		}
		if generation, err := strconv.ParseUint(digits, 10, 64); err == nil {
			generations = append(generations, generation)
		}
	}
	sort.Slice(generations, func(i, j int) bool { return generations[i] > generations[j] })
	return generations, nil
}
