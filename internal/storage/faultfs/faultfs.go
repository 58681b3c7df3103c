// Package faultfs implements storage.FS in memory for tests. A simulated crash
// discards data that was not synced, and syncs and writes can be made to fail or
// block.
package faultfs

import (
	"errors"
	"io"
	"io/fs"
	"sort"
	"sync"

	"godwityoke.example/godwityoke/internal/storage"
)

var (
	// ErrCrashed is returned by files that were open during a crash.
	ErrCrashed = errors.New("faultfs: the machine crashed")
	// ErrSyncFailed is an error that tests may pass to FailSyncs.
	ErrSyncFailed = errors.New("faultfs: sync failed")
	// ErrDiskFull is returned by writes beyond the free space.
	ErrDiskFull = errors.New("faultfs: no space left on device")
)

// Disk is a data folder in memory. It is safe for concurrent use.
type Disk struct {
	mu sync.Mutex
	// names holds the files by name as programs see them, durable the files that
	// exist after a crash.
	names   map[string]*inode
	durable map[string]*inode
	// epoch counts crashes. Files and locks of an earlier epoch are invalid.
	epoch  int
	locked bool
	// syncErr is returned by all syncs unless it is nil.
	syncErr error
	// freeBytes is the free space, negative if unlimited.
	freeBytes int
	blocked   chan struct{}
	syncCount int
}

// inode holds the content of a file: data as programs see it, synced as of the
// last sync.
type inode struct {
	data   []byte
	synced []byte
}

var _ storage.FS = (*Disk)(nil)

// New returns an empty disk with unlimited space.
func New() *Disk {
	return &Disk{names: map[string]*inode{}, durable: map[string]*inode{}, freeBytes: -1}
}

// Crash discards unsynced data, releases the lock and makes open files return
// ErrCrashed. For a file with unsynced bytes at its end, tail returns how many of
// them are kept; a nil tail keeps none.
func (d *Disk) Crash(tail func(unsynced int) int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.epoch++
	d.locked = false
	d.names = map[string]*inode{}
	for name, node := range d.durable {
		kept := append([]byte(nil), node.synced...)
		if unsynced := len(node.data) - len(node.synced); tail != nil && unsynced > 0 {
			kept = append(kept, node.data[len(node.synced):len(node.synced)+tail(unsynced)]...)
		}
		node.data, node.synced = kept, append([]byte(nil), kept...)
		d.names[name] = node
	}
	if d.blocked != nil {
		close(d.blocked)
		d.blocked = nil
	}
}

// Wipe simulates a crash that also loses all files.
func (d *Disk) Wipe() {
	d.Crash(nil)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.names, d.durable = map[string]*inode{}, map[string]*inode{}
}

// FailSyncs makes all later syncs of files and of the folder fail with err, or
// succeed again if err is nil.
func (d *Disk) FailSyncs(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.syncErr = err
}

// SetFreeBytes sets the free space. A negative number makes it unlimited.
func (d *Disk) SetFreeBytes(bytes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.freeBytes = bytes
}

// BlockSyncs makes file syncs block until UnblockSyncs or Crash.
func (d *Disk) BlockSyncs() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.blocked == nil {
		d.blocked = make(chan struct{})
	}
}

// UnblockSyncs lets blocked file syncs proceed and ends the effect of BlockSyncs.
func (d *Disk) UnblockSyncs() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.blocked != nil {
		close(d.blocked)
		d.blocked = nil
	}
}

// SyncCount returns the number of successful file syncs.
func (d *Disk) SyncCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.syncCount
}

// Corrupt changes the byte at offset of a file, also in its synced content.
func (d *Disk) Corrupt(name string, offset int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	node := d.names[name]
	node.data[offset] ^= 0x5a
	node.synced = append([]byte(nil), node.data...)
}

// Size returns the length of a file in bytes, 0 if the file doesn't exist.
func (d *Disk) Size(name string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if node := d.names[name]; node != nil {
		return len(node.data)
	}
	return 0
}

// Path implements storage.FS.
func (d *Disk) Path(name string) string { return "disk/" + name }

// Append implements storage.FS.
func (d *Disk) Append(name string) (storage.File, error) { return d.open(name, false) }

// Create implements storage.FS.
func (d *Disk) Create(name string) (storage.File, error) { return d.open(name, true) }

func (d *Disk) open(name string, truncate bool) (storage.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	node := d.names[name]
	if node == nil {
		node = &inode{}
		d.names[name] = node
	}
	if truncate {
		node.data = nil
	}
	return &file{disk: d, node: node, epoch: d.epoch}, nil
}

// ReadFile implements storage.FS.
func (d *Disk) ReadFile(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	node := d.names[name]
	if node == nil {
		return nil, &fs.PathError{Op: "open", Path: d.Path(name), Err: fs.ErrNotExist}
	}
	return append([]byte(nil), node.data...), nil
}

// Rename implements storage.FS.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	node := d.names[from]
	if node == nil {
		return &fs.PathError{Op: "rename", Path: d.Path(from), Err: fs.ErrNotExist}
	}
	d.names[to] = node
	delete(d.names, from)
	return nil
}

// Remove implements storage.FS.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.names[name] == nil {
		return &fs.PathError{Op: "remove", Path: d.Path(name), Err: fs.ErrNotExist}
	}
	delete(d.names, name)
	return nil
}

// List implements storage.FS.
func (d *Disk) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	names := make([]string, 0, len(d.names))
	for name := range d.names {
		names = append(names, name)
	}
	sort.Strings(names)
	return names, nil
}

// SyncDir implements storage.FS.
func (d *Disk) SyncDir() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.syncErr != nil {
		return d.syncErr
	}
	d.durable = map[string]*inode{}
	for name, node := range d.names {
		d.durable[name] = node
	}
	return nil
}

// Lock implements storage.FS.
func (d *Disk) Lock(string) (io.Closer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.locked {
		return nil, storage.ErrLocked
	}
	d.locked = true
	return &lock{disk: d, epoch: d.epoch}, nil
}

type lock struct {
	disk  *Disk
	epoch int
}

func (l *lock) Close() error {
	l.disk.mu.Lock()
	defer l.disk.mu.Unlock()
	if l.epoch == l.disk.epoch {
		l.disk.locked = false
	}
	return nil
}

type file struct {
	disk  *Disk
	node  *inode
	epoch int
}

func (f *file) Write(data []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.epoch != f.disk.epoch {
		return 0, ErrCrashed
	}
	if free := f.disk.freeBytes; free >= 0 && len(data) > free {
		f.node.data = append(f.node.data, data[:free]...)
		f.disk.freeBytes = 0
		return free, ErrDiskFull
	}
	if f.disk.freeBytes >= 0 {
		f.disk.freeBytes -= len(data)
	}
	f.node.data = append(f.node.data, data...)
	return len(data), nil
}

func (f *file) Sync() error {
	f.disk.mu.Lock()
	blocked := f.disk.blocked
	f.disk.mu.Unlock()
	if blocked != nil {
		<-blocked
	}
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.epoch != f.disk.epoch {
		return ErrCrashed
	}
	if f.disk.syncErr != nil {
		return f.disk.syncErr
	}
	f.disk.syncCount++
	f.node.synced = append([]byte(nil), f.node.data...)
	return nil
}

func (f *file) Truncate(size int64) error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.epoch != f.disk.epoch {
		return ErrCrashed
	}
	f.node.data = f.node.data[:size:size]
	return nil
}

func (f *file) Close() error { return nil }
