package filewatch

import (
	"errors"
	"fmt"
	"io"
	"os"
	"syscall"
)

// errChangedDuringRead reports that a file changed before or while it was read.
var errChangedDuringRead = errors.New("file changed while it was read")

// stat returns the state of a file, or the zero state if the file does not exist. It follows symbolic links, since the state of the
// content matters, not that of the link.
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

// stateOf converts file information to a state. It returns an error if the file is not a regular file.
func stateOf(path string, info os.FileInfo) (FileState, error) {
	if !info.Mode().IsRegular() {
		return FileState{}, fmt.Errorf("%s is not a regular file", path)
	}
	state := FileState{Exists: true, Size: info.Size(), ModTime: info.ModTime()}
	if sys, ok := info.Sys().(*syscall.Stat_t); ok {
		state.Inode = sys.Ino
	}
	return state, nil
}

// readUnchanged reads a file completely if it is in the wanted state. It returns errChangedDuringRead if the file was in another
// state when it was opened or afterwards, because the data may then be a mixture of two states.
func readUnchanged(path string, want FileState, maxBytes int64) ([]byte, error) {
	if want.Size > maxBytes {
		return nil, fmt.Errorf("%s: file size %d bytes exceeds the limit of %d bytes", path, want.Size, maxBytes)
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
		return nil, errChangedDuringRead
	}
	return data, nil
}
