// Package process runs the process of one VM: it opens the listeners, assembles the
// components for the roles that the settings list, serves the listeners, and stops
// everything in order. The work of the roles is done in other packages; this one connects
// them. Several instances may run side by side in one operating-system process.
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

// Component is a role of a VM, or a service within a role, that a process starts and stops.
type Component interface {
	// Start begins the work of the component. All listeners are open and none is
	// served yet. The work ends when ctx ends, if Stop was not called before.
	Start(ctx context.Context) error
	// CheckReady returns nil if, as far as this component is concerned, callers may be
	// sent to this VM.
	CheckReady() error
	// Stop stops the component gracefully: it finishes or hands over its work in progress
	// and ends its streams to other VMs. When it is called, all caller requests have
	// ended. It returns early when ctx ends.
	Stop(ctx context.Context) error
}

// Killer is a Component that holds resources, such as open files, that the operating system
// would release if the process were killed.
type Killer interface {
	// Kill releases the resources at once, without a handover of work.
	Kill()
}

// Builder makes a Component. It may register gRPC services and operators' routes on host
// and may set the fields of Host that are documented as set by a builder. It returns nil
// if the settings do not call for the component.
type Builder func(host *Host) (Component, error)

// Host holds the resources that the components of a process share.
type Host struct {
	Settings *settings.Settings
	Logger   zerolog.Logger
	Metrics  *observe.Metrics
	// Bundles holds the bundle in force. The distribution component advances it, or,
	// without control VMs, the request path when it loads the bundle file.
	Bundles *bundle.Holder
	// GRPCServer serves the listener for other VMs.
	GRPCServer *grpc.Server
	// OperatorMux serves the operators' listener, if there is one.
	OperatorMux *http.ServeMux
	// Certificates holds the TLS certificates for connections between VMs and for the
	// operators' listener; nil for plaintext.
	Certificates *transport.Certificates
	// PeerPool holds the gRPC connections to other VMs.
	PeerPool *transport.Pool
	// Addresses are the addresses that the listeners are bound to.
	Addresses Addresses
	// Fleet holds the backend servers of the zone; nil without the role entry.
	Fleet *fleet.Table

	// Distribution is set by BuildDistribution.
	Distribution *distribute.Node
	// Control, Registry and MemberID are set by BuildControl.
	Control  *control.Control
	Registry *registry.Registry
	// MemberID is this VM's member ID in the control group. A VM with a new data folder
	// has a new one.
	MemberID uint64

	// Claims claims idempotency keys of non-idempotent calls. It is set by BuildClaims on
	// entry VMs; nil without control VMs.
	Claims ledger.Claimer
	// EnginePlacer places requests on engines; nil without the role entry. A builder may
	// replace it.
	EnginePlacer place.Placer
	// Limiter enforces the limits of teams; nil without the role entry. A builder may
	// replace it.
	Limiter limit.Limiter
}

// Addresses are the "ip:port" addresses that a process listens on. An address is empty if
// there is no such listener.
type Addresses struct {
	Callers   string
	Backends  string
	Internal  string
	Operators string
}

// Listeners are the listeners of a process; nil where there is none.
type Listeners struct {
	Callers   net.Listener
	Backends  net.Listener
	Internal  net.Listener
	Operators net.Listener
}

// Options configures a process.
type Options struct {
	Settings *settings.Settings
	Logger   zerolog.Logger
	// Listeners holds open listeners to use in place of the addresses of the settings.
	// The process closes them.
	Listeners Listeners
	// Builders make the components other than the request path of callers. They are
	// called, and their components started, in this order; components stop in the
	// reverse order.
	Builders []Builder
	// Bundles is the holder of the bundle in force. If nil, the process creates one.
	Bundles *bundle.Holder
}
