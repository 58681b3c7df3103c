package relay

import (
	"context"
	"slices"
)

type zonesKey struct{}

// WithZones returns a context for Dial in which only VMs in the given availability zones may relay the connection.
func WithZones(ctx context.Context, zones []string) context.Context {
	return context.WithValue(ctx, zonesKey{}, zones)
}

// peers returns the VMs that may relay a connection.
func (d *Dialer) peers(ctx context.Context) []Peer {
	all := d.options.Peers()
	zones, limited := ctx.Value(zonesKey{}).([]string)
	if !limited {
		return all
	}
	allowed := make([]Peer, 0, len(all))
	for _, peer := range all {
		if slices.Contains(zones, peer.Zone) {
			allowed = append(allowed, peer)
		}
	}
	return allowed
}
