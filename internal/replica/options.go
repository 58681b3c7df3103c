package replica

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"godwityoke.example/godwityoke/internal/consensus"
	"godwityoke.example/godwityoke/internal/settings"
	"godwityoke.example/godwityoke/internal/storage"
	"godwityoke.example/godwityoke/internal/transport"
)

const (
	// maxMessageBytes limits the entries or the snapshot data in one message.
	maxMessageBytes = 256 << 10
	// maxCommandBytes is the maximum size of one command.
	maxCommandBytes = 8 << 20
	// maxPendingBytes limits the total size of the proposed commands that are not yet
	// committed.
	maxPendingBytes = 32 << 20
	// maxSnapshotBytes is the maximum size of a snapshot of the state machine.
	maxSnapshotBytes = 256 << 20
	// maxInFlight is the maximum number of unacknowledged appends to one member.
	maxInFlight = 32
	// ticksPerHeartbeat is the number of calls of Core.Tick per heartbeat interval.
	ticksPerHeartbeat = 2
)

// Options configures a Replica.
type Options struct {
	// Settings holds the cluster name, this VM, the control VMs that form the group,
	// the heartbeat interval, the election timeout and the data folder.
	Settings *settings.Settings
	// StateMachine is modified by the replica only, through Apply and Restore.
	StateMachine StateMachine
	// Pool holds the connections to the other control VMs. The replica does not close it.
	Pool   *transport.Pool
	Logger zerolog.Logger
	// Folder is the data folder, nil for that at Settings.DataDir.
	Folder storage.FS
	// In tests, network replaces the gRPC network.
	network network
}

func (o *Options) check() error {
	control := o.Settings.Control
	switch {
	case o.StateMachine == nil:
		return errors.New("replica: Options.StateMachine is nil")
	case control.HeartbeatInterval <= 0 || control.ElectionTimeout < 4*control.HeartbeatInterval:
		return errors.New("replica: the election timeout must be at least four heartbeats")
	case control.MaxClockDriftPercent < 0 || control.MaxClockDriftPercent >= 50:
		return errors.New("replica: max_clock_drift_percent must be at least 0 and below 50")
	case control.SnapshotEntries <= 0:
		return errors.New("replica: snapshot_entries must be positive")
	case o.Folder == nil && o.Settings.DataDir == "":
		return errors.New("replica: a control VM needs data_dir")
	}
	return nil
}

func (o *Options) openFolder() (storage.FS, error) {
	if o.Folder != nil {
		return o.Folder, nil
	}
	folder, err := storage.OpenDir(o.Settings.DataDir)
	if err != nil {
		return nil, fmt.Errorf("replica: %w", err)
	}
	return folder, nil
}

func (o *Options) coreConfig(member consensus.MemberID) consensus.Config {
	control := o.Settings.Control
	return consensus.Config{
		ID:                   member,
		HeartbeatInterval:    time.Duration(control.HeartbeatInterval),
		ElectionTimeout:      time.Duration(control.ElectionTimeout),
		MaxClockDriftPercent: control.MaxClockDriftPercent,
		MaxMessageBytes:      maxMessageBytes,
		MaxCommandBytes:      maxCommandBytes,
		MaxInFlightAppends:   maxInFlight,
		MaxPendingBytes:      maxPendingBytes,
		MaxSnapshotBytes:     maxSnapshotBytes,
		KeepEntries:          uint64(control.SnapshotEntries),
		Rand:                 rand.New(rand.NewPCG(uint64(member), rand.Uint64())),
	}
}

// address returns the internal address at which the other control VMs reach this
// VM: that in the list of control VMs, or else the listen address.
func (o *Options) address() string {
	for _, peer := range o.Settings.ControlVMs {
		if peer.Name == o.Settings.VM.Name {
			return peer.Internal
		}
	}
	return o.Settings.Listen.Internal
}
