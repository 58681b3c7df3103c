package storage

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// ErrLocked tells that another process uses the data folder.
var ErrLocked = errors.New("the data folder is in use by another process")

// File is one open file.
type File interface {
	io.Writer
	io.Closer
	// Sync returns once all that was written is on disk.
	Sync() error
	// Truncate cuts the file to size bytes.
	Truncate(size int64) error
}

// FS is one data folder. Names have no directory part.
type FS interface {
	// Append opens a file for writing at its end, and creates it if missing.
	Append(name string) (File, error)
	// Create opens a file for writing and empties it.
	Create(name string) (File, error)
	// ReadFile returns a file's content; the error wraps fs.ErrNotExist when
	// there is none.
	ReadFile(name string) ([]byte, error)
	// Rename replaces to by from in one step.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(name string) error
	// List returns the names of all files.
	List() ([]string, error)
	// SyncDir returns once creations, renames and removals are on disk.
	SyncDir() error
	// Lock takes the folder for this process until the result is closed. It
	// fails with ErrLocked when another process has it.
	Lock(name string) (io.Closer, error)
	// Path returns the full name of a file, for messages.
	Path(name string) string
}

const (
	fileMode   fs.FileMode = 0o600
	folderMode fs.FileMode = 0o700
)

// dirFS is an FS on a folder of the operating system.
type dirFS struct {
	folder string
}

// OpenDir returns the folder, made when it is missing.
func OpenDir(folder string) (FS, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, fmt.Errorf("data folder: %w", err)
	}
	parent := &dirFS{folder: filepath.Dir(filepath.Clean(folder))}
	if err := parent.SyncDir(); err != nil {
		return nil, err
	}
	return &dirFS{folder: folder}, nil
}

// Path implements FS.
func (d *dirFS) Path(name string) string { return filepath.Join(d.folder, name) }

// Append implements FS.
func (d *dirFS) Append(name string) (File, error) {
	return os.OpenFile(d.Path(name), os.O_CREATE|os.O_WRONLY|os.O_APPEND, fileMode)
}

// Create implements FS.
func (d *dirFS) Create(name string) (File, error) {
	return os.OpenFile(d.Path(name), os.O_CREATE|os.O_WRONLY|os.O_TRUNC, fileMode)
}

// ReadFile implements FS.
func (d *dirFS) ReadFile(name string) ([]byte, error) { return os.ReadFile(d.Path(name)) }

// Rename implements FS.
func (d *dirFS) Rename(from, to string) error { return os.Rename(d.Path(from), d.Path(to)) }

// Remove implements FS.
func (d *dirFS) Remove(name string) error { return os.Remove(d.Path(name)) }

// List implements FS.
func (d *dirFS) List() ([]string, error) {
	entries, err := os.ReadDir(d.folder)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, entry := range entries {
		if entry.Type().IsRegular() {
			names = append(names, entry.Name())
		}
	}
	return names, nil
}

// SyncDir implements FS.
func (d *dirFS) SyncDir() error {
	dir, err := os.Open(d.folder)
	if err != nil {
		return fmt.Errorf("sync folder: %w", err)
	}
	defer func() { _ = dir.Close() }()
	if err := dir.Sync(); err != nil {
		return fmt.Errorf("sync folder %s: %w", d.folder, err)
	}
	return nil
}

// Lock implements FS.
func (d *dirFS) Lock(name string) (io.Closer, error) {
	file, err := os.OpenFile(d.Path(name), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = file.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, fmt.Errorf("%s: %w", d.Path(name), ErrLocked)
		}
		return nil, fmt.Errorf("lock %s: %w", d.Path(name), err)
	}
	return file, nil
}
