package wal

import (
	"io"
	"os"
	"syscall"
)

// File is a file that is open for writing.
type File interface {
	io.WriteCloser
	Sync() error
	Truncate(size int64) error
}

// FS is the part of a file system that the log uses. Tests inject failures through it.
type FS interface {
	MkdirAll(dir string) error
	// ReadDir returns the names in a directory.
	ReadDir(dir string) ([]string, error)
	ReadFile(path string) ([]byte, error)
	// Create opens a file and empties it. Append opens an existing file at its end.
	Create(path string) (File, error)
	Append(path string) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir makes created, renamed and removed names in a directory durable.
	SyncDir(dir string) error
	// Lock takes an exclusive lock, which is released by Close and when the process ends.
	// It fails without waiting if the lock is held already.
	Lock(path string) (io.Closer, error)
}

// OSFS is the file system of the operating system.
type OSFS struct{}

// Modes of the data directory and its files. Only the owner has access, since the log
// holds answers to callers.
const (
	dirMode  = 0o700
	fileMode = 0o600
)

// MkdirAll implements FS.
func (OSFS) MkdirAll(dir string) error { return os.MkdirAll(dir, dirMode) }

// ReadDir implements FS.
func (OSFS) ReadDir(dir string) ([]string, error) {
	list, err := os.ReadDir(dir)
	names := make([]string, 0, len(list))
	for _, e := range list {
		names = append(names, e.Name())
	}
	return names, err
}

// ReadFile implements FS.
func (OSFS) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// Create implements FS.
func (OSFS) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

// Append implements FS.
func (OSFS) Append(path string) (File, error) {
	return os.OpenFile(path, os.O_APPEND|os.O_WRONLY, fileMode)
}

// Rename implements FS.
func (OSFS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OSFS) Remove(path string) error { return os.Remove(path) }

// SyncDir implements FS.
func (OSFS) SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

// Lock implements FS.
func (OSFS) Lock(path string) (io.Closer, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, err
	}
	return f, nil
}
