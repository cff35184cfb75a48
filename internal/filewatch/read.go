package filewatch

import (
	"errors"
	"fmt"
	"io"
	"os"
	"syscall"
)

// errChanging says that a file changed while it was read.
var errChanging = errors.New("the file changes while it is read")

// stat returns the state of a file; the zero state if it does not exist. It follows symbolic links: the content is what
// counts.
func stat(path string) (FileState, error) {
	info, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) {
		return FileState{}, nil
	}
	if err != nil {
		return FileState{}, err
	}
	return stateOf(path, info)
}

func stateOf(path string, info os.FileInfo) (FileState, error) {
	if !info.Mode().IsRegular() {
		return FileState{}, fmt.Errorf("%s is no plain file", path)
	}
	state := FileState{Exists: true, Size: info.Size(), ModTime: info.ModTime()}
	if sys, ok := info.Sys().(*syscall.Stat_t); ok {
		state.Inode = sys.Ino
	}
	return state, nil
}

// read reads a file completely, in the state that was seen. The error is errChanging if it was in another state when it was
// opened or afterwards: what was read may then be a mixture.
func read(path string, want FileState, maxBytes int64) ([]byte, error) {
	if want.Size > maxBytes {
		return nil, fmt.Errorf("%s has %d bytes, %d at most", path, want.Size, maxBytes)
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	data, err := io.ReadAll(io.LimitReader(f, want.Size+1))
	if err != nil {
		return nil, err
	}
	info, err := f.Stat()
	if err != nil {
		return nil, err
	}
	opened, err := stateOf(path, info)
	if err != nil {
		return nil, err
	}
	after, err := stat(path)
	sameState := err == nil && opened.Equal(want) && after.Equal(want)
	if !sameState || int64(len(data)) != want.Size {
		return nil, errChanging
	}
	return data, nil
}
