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
	// maxMessageBytes bounds the entries or snapshot data of one message.
	maxMessageBytes = 256 << 10
	// maxCommandBytes bounds one command.
	maxCommandBytes = 8 << 20
	// maxPendingBytes bounds the commands that wait for commit.
	maxPendingBytes = 32 << 20
	// maxSnapshotBytes bounds the replicated state.
	maxSnapshotBytes = 256 << 20
	// maxInFlight bounds the unacknowledged appends to one member.
	maxInFlight = 32
	// ticksPerHeartbeat is how often the core sees the time pass.
	ticksPerHeartbeat = 2
)

// Options configure a Replica.
type Options struct {
	// Settings give the cluster, this VM, the control VMs that form the group,
	// the times and the data folder.
	Settings *settings.Settings
	// StateMachine is restored and fed by the replica alone.
	StateMachine StateMachine
	// Pool gives the connections to other control VMs.
	Pool   *transport.Pool
	Logger zerolog.Logger
	// folder replaces the data folder, network the gRPC network; for tests.
	folder  storage.FS
	network network
}

func (o *Options) check() error {
	control := o.Settings.Control
	switch {
	case o.StateMachine == nil:
		return errors.New("replica: no state machine")
	case control.HeartbeatInterval <= 0 || control.ElectionTimeout < 4*control.HeartbeatInterval:
		return errors.New("replica: the election timeout must be at least four heartbeats")
	case control.MaxClockDriftPercent < 0 || control.MaxClockDriftPercent >= 50:
		return errors.New("replica: the clock drift must be from 0 to 50 percent")
	case control.SnapshotEntries <= 0:
		return errors.New("replica: snapshot_entries must be positive")
	case o.folder == nil && o.Settings.DataDir == "":
		return errors.New("replica: a control VM needs data_dir")
	}
	return nil
}

func (o *Options) openFolder() (storage.FS, error) {
	if o.folder != nil {
		return o.folder, nil
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

// address returns where other control VMs reach this one.
func (o *Options) address() string {
	for _, peer := range o.Settings.ControlVMs {
		if peer.Name == o.Settings.VM.Name {
			return peer.Internal
		}
	}
	return o.Settings.Listen.Internal
}
