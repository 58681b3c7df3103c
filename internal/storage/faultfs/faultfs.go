// Package faultfs is a data folder in memory for tests. It forgets what was
// not synced when it crashes, and fails on demand.
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
	// ErrCrashed is returned by files that were open at a crash.
	ErrCrashed = errors.New("faultfs: the machine crashed")
	// ErrSyncFailed is the default error of a failing sync.
	ErrSyncFailed = errors.New("faultfs: sync failed")
	// ErrDiskFull is returned by writes beyond the capacity.
	ErrDiskFull = errors.New("faultfs: no space left on device")
)

// Disk is a data folder in memory. It is safe for concurrent use.
type Disk struct {
	mu sync.Mutex
	// names is the folder as programs see it, durable as a crash leaves it.
	names   map[string]*inode
	durable map[string]*inode
	epoch   int
	locked  bool
	syncErr error
	// free is the space left in bytes, negative when unlimited.
	free  int
	hang  chan struct{}
	syncs int
}

type inode struct {
	data   []byte
	synced []byte
}

var _ storage.FS = (*Disk)(nil)

// New returns an empty disk without a limit.
func New() *Disk {
	return &Disk{names: map[string]*inode{}, durable: map[string]*inode{}, free: -1}
}

// Crash loses what was not synced, gives the lock back and makes open files
// fail. Of the unsynced end of a file, tail says how many bytes reached the
// disk; nil means none.
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
	if d.hang != nil {
		close(d.hang)
		d.hang = nil
	}
}

// Wipe crashes and loses everything.
func (d *Disk) Wipe() {
	d.Crash(nil)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.names, d.durable = map[string]*inode{}, map[string]*inode{}
}

// FailSyncs makes every later sync fail with err, nil ends it.
func (d *Disk) FailSyncs(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.syncErr = err
}

// SetFreeBytes limits the space left to bytes; a negative number ends the limit.
func (d *Disk) SetFreeBytes(bytes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.free = bytes
}

// BlockSyncs makes every sync wait until Release or Crash.
func (d *Disk) BlockSyncs() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.hang == nil {
		d.hang = make(chan struct{})
	}
}

// UnblockSyncs ends BlockSyncs.
func (d *Disk) UnblockSyncs() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.hang != nil {
		close(d.hang)
		d.hang = nil
	}
}

// SyncCount returns the number of finished file syncs.
func (d *Disk) SyncCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.syncs
}

// Corrupt changes one stored byte of a file.
func (d *Disk) Corrupt(name string, offset int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	node := d.names[name]
	node.data[offset] ^= 0x5a
	node.synced = append([]byte(nil), node.data...)
}

// Size returns the length of a file, 0 when there is none.
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

func (d *Disk) open(name string, empty bool) (storage.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	node := d.names[name]
	if node == nil {
		node = &inode{}
		d.names[name] = node
	}
	if empty {
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
	if free := f.disk.free; free >= 0 && len(data) > free {
		f.node.data = append(f.node.data, data[:free]...)
		f.disk.free = 0
		return free, ErrDiskFull
	}
	if f.disk.free >= 0 {
		f.disk.free -= len(data)
	}
	f.node.data = append(f.node.data, data...)
	return len(data), nil
}

func (f *file) Sync() error {
	f.disk.mu.Lock()
	hang := f.disk.hang
	f.disk.mu.Unlock()
	if hang != nil {
		<-hang
	}
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.epoch != f.disk.epoch {
		return ErrCrashed
	}
	if f.disk.syncErr != nil {
		return f.disk.syncErr
	}
	f.disk.syncs++
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
