package replica

import (
	"context"

	"godwityoke.example/godwityoke/internal/consensus"
)

// network carries messages between members. It may lose, delay, repeat and
// reorder them. Its methods never block, but for describe.
type network interface {
	// send carries a message to the member m.To.
	send(m *consensus.Message)
	// update tells the members of the group and their addresses.
	update(membership consensus.Membership)
	// describe asks who answers at an address.
	describe(ctx context.Context, address string) (description, error)
	// close ends all streams.
	close()
}

// description is what a member tells of itself.
type description struct {
	name   string
	member consensus.MemberID
	// group is zero while the member has none.
	group uint64
	// bootstrap is set while the member waits to form a group with listed.
	bootstrap bool
	listed    []string
}

// describeSelf tells who serves this address.
func (r *Replica) describeSelf() description {
	status := r.status.Load()
	return description{
		name:      r.settings.VM.Name,
		member:    r.member,
		group:     status.Group,
		bootstrap: r.settings.Control.Bootstrap && status.Group == 0,
		listed:    r.listedNames(),
	}
}

// receive hands a message of another member to the control goroutine. It is
// dropped when too many wait.
func (r *Replica) receive(m consensus.Message) {
	size := int64(m.Size())
	if r.inboxSize.Add(size) > inboxBytes {
		r.inboxSize.Add(-size)
		return
	}
	select {
	case r.inbox <- m:
	default:
		r.inboxSize.Add(-size)
	}
}
