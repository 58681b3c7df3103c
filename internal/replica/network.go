package replica

import (
	"context"

	"godwityoke.example/godwityoke/internal/consensus"
)

// network carries messages between members. It may lose, delay, duplicate and
// reorder them. send and update never block.
type network interface {
	// send queues a message for the member m.To.
	send(m *consensus.Message)
	// update sets the members of the group and their addresses.
	update(membership consensus.Membership)
	// describe asks the VM at an address for its memberInfo.
	describe(ctx context.Context, address string) (memberInfo, error)
	// close ends all streams and returns when they have ended.
	close()
}

// memberInfo describes a member to the others before they share a group.
type memberInfo struct {
	name   string
	member consensus.MemberID
	// group is zero while the member belongs to no group.
	group uint64
	// bootstrap is true while the member waits to form a group with controlVMs.
	bootstrap bool
	// controlVMs are the sorted names of the control VMs in the member's settings.
	controlVMs []string
}

func (r *Replica) describeSelf() memberInfo {
	status := r.status.Load()
	return memberInfo{
		name:       r.settings.VM.Name,
		member:     r.member,
		group:      status.Group,
		bootstrap:  r.settings.Control.Bootstrap && status.Group == 0,
		controlVMs: r.listedControlVMs(),
	}
}

// receive queues a message of another member for the control goroutine. It drops
// the message if the inbox holds too many messages or bytes; the consensus protocol
// recovers from lost messages.
func (r *Replica) receive(m consensus.Message) {
	size := int64(m.Size())
	if r.inboxSizeBytes.Add(size) > maxInboxBytes {
		r.inboxSizeBytes.Add(-size)
		return
	}
	select {
	case r.inbox <- m:
	default:
		r.inboxSizeBytes.Add(-size)
	}
}
