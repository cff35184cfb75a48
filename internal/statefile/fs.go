package statefile

import (
	"errors"
	"fmt"
	"os"
)

// maxFileBytes bounds the size of a file that is read. The state of ten thousand servers takes 4 MB.
const maxFileBytes = 64 << 20

// FS is the file system that a Store uses. Tests replace it by one that fails at a given step.
type FS interface {
	ReadDir(dir string) ([]string, error)
	ReadFile(path string) ([]byte, error)
	// WriteSync creates or truncates a file, writes it completely and syncs it.
	WriteSync(path string, data []byte) error
	Rename(from, to string) error
	Remove(path string) error
	SyncDir(dir string) error
}

// OS is the operating system's file system.
type OS struct{}

// ReadDir returns the names of the entries of a directory.
func (OS) ReadDir(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = e.Name()
	}
	return names, nil
}

// ReadFile returns the content of a file, or an error if it is larger than 64 MiB.
func (OS) ReadFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("file size %d bytes exceeds the limit of %d bytes", info.Size(), maxFileBytes)
	}
	return os.ReadFile(path)
}

// WriteSync creates or truncates a file, writes it completely and syncs it.
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

// Rename renames a file within its directory.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (OS) Remove(path string) error { return os.Remove(path) }

// SyncDir syncs a directory, so that renames in it survive a crash.
func (OS) SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}
