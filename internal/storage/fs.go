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

// ErrLocked is returned when another process holds the lock of the data folder.
var ErrLocked = errors.New("the data folder is in use by another process")

// File is a file that is open for writing.
type File interface {
	io.Writer
	io.Closer
	// Sync flushes all written data to disk.
	Sync() error
	// Truncate shortens the file to size bytes.
	Truncate(size int64) error
}

// FS is one data folder. File names have no directory part.
type FS interface {
	// Append opens a file for writing at its end, and creates it if it doesn't exist.
	Append(name string) (File, error)
	// Create opens an empty file for writing, truncating an existing one.
	Create(name string) (File, error)
	// ReadFile returns the content of a file. The error wraps fs.ErrNotExist if
	// the file doesn't exist.
	ReadFile(name string) ([]byte, error)
	// Rename atomically renames a file and replaces an existing file called to.
	Rename(from, to string) error
	// Remove deletes the file called name.
	Remove(name string) error
	// List returns the names of all regular files.
	List() ([]string, error)
	// SyncDir makes creations, renames and removals of files durable.
	SyncDir() error
	// Lock locks the folder for this process until the result is closed, by a
	// lock on the file called name. It fails with ErrLocked if another process
	// holds the lock.
	Lock(name string) (io.Closer, error)
	// Path returns the path of a file for messages.
	Path(name string) string
}

const (
	fileMode   fs.FileMode = 0o600
	folderMode fs.FileMode = 0o700
)

// dirFS implements FS on a folder of the operating system.
type dirFS struct {
	folder string
}

// OpenDir returns the data folder at a path, and creates it if it doesn't exist.
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

// Lock implements FS with flock, which the operating system releases when the
// process ends.
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
