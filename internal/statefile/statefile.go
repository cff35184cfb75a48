// Package statefile saves a small state in a directory. If a process is killed at any moment, the next process loads the last
// state or the one before it, never a mixture. Each generation is a separate file: it is written under a temporary name, synced
// and renamed, and then the directory is synced. If a file is truncated, damaged or not a state file of the same name and
// version, the generation before it is loaded instead.
package statefile

import (
	"errors"
	"fmt"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
)

// KeptGenerations is the number of generations that are kept. Two are enough to recover from a kill at any moment; the third
// preserves the state before those two.
const KeptGenerations = 3

// generationDigits is the number of digits of the generation in a file name.
const generationDigits = 12

// ErrNoState reports that no generation can be used.
var ErrNoState = errors.New("no usable state")

// Store saves and loads the state with one name in one directory. It is not safe for concurrent use.
type Store struct {
	fs             FS
	dir            string
	name           string
	version        int
	lastGeneration uint64 // newest generation, whether usable or not; 0: unknown
}

// Skipped describes a generation that cannot be used.
type Skipped struct {
	File string
	Err  error
}

// New returns a Store for the state with a name in a directory. Load skips generations that have another version.
func New(fs FS, dir, name string, version int) *Store {
	return &Store{fs: fs, dir: dir, name: name, version: version}
}

// Load returns the data of the newest usable generation, and the newer generations that were skipped. The error is ErrNoState if no
// generation can be used; any other error means that the directory cannot be read.
func (s *Store) Load() (data []byte, skipped []Skipped, err error) {
	generations, err := s.generations()
	if err != nil {
		return nil, nil, err
	}
	if len(generations) > 0 {
		s.lastGeneration = generations[0] // Save must not reuse the generation of an existing file, usable or not
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

// Save writes the next generation and removes the oldest one. If it fails, the earlier generations still exist.
func (s *Store) Save(data []byte) error {
	generation := s.lastGeneration + 1
	temp := filepath.Join(s.dir, s.name+".tmp")
	if err := s.fs.WriteSync(temp, s.encode(data, generation)); err != nil {
		_ = s.fs.Remove(temp) // so that a partly written file takes no space if the disk is full
		return fmt.Errorf("writing %s: %w", temp, err)
	}
	if err := s.fs.Rename(temp, s.path(generation)); err != nil {
		_ = s.fs.Remove(temp)
		return fmt.Errorf("renaming %s: %w", temp, err)
	}
	s.lastGeneration = generation
	if err := s.fs.SyncDir(s.dir); err != nil {
		return fmt.Errorf("syncing %s: %w", s.dir, err)
	}
	s.prune()
	return nil
}

// prune removes all but the newest KeptGenerations generations. If a file cannot be removed, the next save tries again.
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

// generations returns the generations of the files in the directory, newest first.
func (s *Store) generations() ([]uint64, error) {
	names, err := s.fs.ReadDir(s.dir)
	if err != nil {
		return nil, err
	}
	var generations []uint64
	for _, name := range names {
		digits, hasPrefix := strings.CutPrefix(name, s.name+".")
		if !hasPrefix || len(digits) != generationDigits {
			continue
		}
		if generation, err := strconv.ParseUint(digits, 10, 64); err == nil {
			generations = append(generations, generation)
		}
	}
	sort.Slice(generations, func(i, j int) bool { return generations[i] > generations[j] })
	return generations, nil
}
