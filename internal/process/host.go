// Package process runs one VM's process: it opens the listeners, assembles the
// roles that the settings give and ends them in order. Many processes may run
// side by side in one operating-system process.
package process

import (
	"context"
	"net"
	"net/http"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/control"
	"godwityoke.example/godwityoke/internal/distribute"
	"godwityoke.example/godwityoke/internal/filter/limit"
	"godwityoke.example/godwityoke/internal/fleet"
	"godwityoke.example/godwityoke/internal/ledger"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/place"
	"godwityoke.example/godwityoke/internal/registry"
	"godwityoke.example/godwityoke/internal/settings"
	"godwityoke.example/godwityoke/internal/transport"
)

// Component is a role or a service of a process.
type Component interface {
	// Start begins the work of the part. All listeners are open and none is
	// served yet. The work ends with ctx at the latest.
	Start(ctx context.Context) error
	// CheckReady returns nil once callers may be sent to this VM.
	CheckReady() error
	// Stop ends the work in order: what is in progress is finished or handed
	// over, and streams to other VMs are ended. Callers' requests have ended.
	// It returns early when ctx ends.
	Stop(ctx context.Context) error
}

// Killer is a Component that holds what the death of a process would free.
type Killer interface {
	// Kill frees it at once, without handing anything over.
	Kill()
}

// Builder makes a part. It registers gRPC services and operators' routes on
// host and may set the fields of host that say so. It returns nil when the
// settings do not ask for the part.
type Builder func(host *Host) (Component, error)

// Host is what parts share.
type Host struct {
	Settings *settings.Settings
	Logger   zerolog.Logger
	Metrics  *observe.Metrics
	// Bundles holds the bundle in force; the part that distributes bundles
	// advances it.
	Bundles *bundle.Holder
	// GRPCServer serves the internal listener.
	GRPCServer *grpc.Server
	// OperatorMux serves the operators' listener, when there is one.
	OperatorMux *http.ServeMux
	// Certificates are the files for TLS between VMs, nil for plaintext.
	Certificates *transport.Certificates
	// PeerPool holds the connections to other VMs.
	PeerPool *transport.Pool
	// Addresses are the bound addresses.
	Addresses Addresses
	// Fleet holds the backend servers of the zone; nil without the role entry.
	Fleet *fleet.Table

	// Distribution is set by BuildDistribution.
	Distribution *distribute.Node
	// Control, Registry and MemberID are set by BuildControl.
	Control  *control.Control
	Registry *registry.Registry
	// MemberID is the identity of the data folder in the control group.
	MemberID uint64

	// Claims is set by the part that reaches the ledger.
	Claims ledger.Claimer
	// EnginePlacer places requests on engines. A builder may replace it.
	EnginePlacer place.Placer
	// Limiter holds teams to their limits. A builder may replace it.
	Limiter limit.Limiter
}

// Addresses are the "ip:port" addresses that a process listens on. An address
// that the settings leave out is empty.
type Addresses struct {
	Callers   string
	Backends  string
	Internal  string
	Operators string
}

// Listeners are the open listeners of a process.
type Listeners struct {
	Callers   net.Listener
	Backends  net.Listener
	Internal  net.Listener
	Operators net.Listener
}

// Options are what a process is started with.
type Options struct {
	Settings *settings.Settings
	Logger   zerolog.Logger
	// Listeners that are set are used in place of the addresses of the
	// settings. The process closes them.
	Listeners Listeners
	// Builders make the parts beside the callers' side, in the order in which
	// they start. They stop in the reverse order.
	Builders []Builder
	// Bundles may be set to share a holder; by default it is new.
	Bundles *bundle.Holder
}
