package control

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/operatorapi"
	"godwityoke.example/godwityoke/internal/registry"
)

// claimsPollInterval is the time between two checks whether a holder of claim records
// grants claims.
const claimsPollInterval = 100 * time.Millisecond

// memberChangeTimeout limits one request for a membership change. The client
// resends the request after a timeout.
const memberChangeTimeout = 5 * time.Second

func (c *Control) handleListVMs(ctx echo.Context) error {
	if err := c.readBarrier(ctx.Request().Context()); err != nil {
		return err
	}
	return ctx.JSON(http.StatusOK, c.vmList())
}

func (c *Control) vmList() operatorapi.VMList {
	leadership := c.options.Group.Leadership()
	list := operatorapi.VMList{Members: []operatorapi.ControlVM{}}
	for _, member := range c.options.Group.Members() {
		vm := operatorapi.ControlVM{MemberID: member.ID, Learner: member.Learner, BehindEntries: member.BehindEntries}
		vm.Name, vm.Internal = member.Name, member.Address
		vm.Leader = member.ID == leadership.LeaderID
		for _, registered := range c.controlVMs() {
			if registered.Name == member.Name {
				vm.Zone, vm.Operators = registered.Zone, registered.Operators
			}
		}
		list.Members = append(list.Members, vm)
	}
	slices.SortFunc(list.Members, func(a, b operatorapi.ControlVM) int { return strings.Compare(a.Name, b.Name) })
	return list
}

func (c *Control) handleAddVM(ctx echo.Context) error {
	request := &operatorapi.VMRequest{}
	if err := ctx.Bind(request); err != nil {
		return badRequest(err)
	}
	if err := c.readBarrier(ctx.Request().Context()); err != nil {
		return err
	}
	changeCtx, cancel := context.WithTimeout(ctx.Request().Context(), memberChangeTimeout)
	defer cancel()
	if err := c.addVM(changeCtx, registry.ControlVM(*request)); err != nil {
		return err
	}
	observe.Log(c.options.Log, observe.ControlVMAdded).Str("peer_vm", request.Name).Send()
	return ctx.JSON(http.StatusOK, c.vmList())
}

// addVM adds a control VM. It is idempotent: each step that an earlier call has
// completed is skipped or changes nothing. The VM becomes a holder of claim
// records after it has become a voter. The call returns once the VM's records are
// complete: until then, the loss of another VM could leave claims without a
// quorum.
func (c *Control) addVM(ctx context.Context, vm registry.ControlVM) error {
	if _, err := c.propose(ctx, putControlVMCommand(vm)); err != nil {
		return err
	}
	if !c.isVoter(vm.Name) {
		if err := c.options.Group.AddMember(ctx, vm.Name, vm.Internal); err != nil {
			return err
		}
	}
	if err := c.recordEpoch(ctx); err != nil {
		return err
	}
	return c.waitUntilGranting(ctx, vm.Internal)
}

// waitUntilGranting returns once the holder at address grants claims in the
// newest ledger epoch, or with an error when ctx ends.
func (c *Control) waitUntilGranting(ctx context.Context, address string) error {
	if c.options.Claims == nil {
		return nil
	}
	for {
		err := c.options.Claims.CheckGranting(ctx, address, c.options.Registry.Epoch().Number)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("claim records of %s are not repaired yet: %w", address, errors.Join(ctx.Err(), err))
		case <-time.After(claimsPollInterval):
		}
	}
}

func (c *Control) isVoter(name string) bool {
	return slices.ContainsFunc(c.options.Group.Members(), func(member Member) bool {
		return member.Name == name && !member.Learner
	})
}

// holders returns the voters as holders of claim records, ordered by member id.
func (c *Control) holders() []registry.EpochHolder {
	var holders []registry.EpochHolder
	for _, member := range c.options.Group.Members() {
		if !member.Learner {
			holders = append(holders, registry.EpochHolder{MemberID: member.ID, Address: member.Address})
		}
	}
	slices.SortFunc(holders, func(a, b registry.EpochHolder) int { return cmp.Compare(a.MemberID, b.MemberID) })
	return holders
}

func (c *Control) isMember(name string) bool {
	return slices.ContainsFunc(c.options.Group.Members(), func(member Member) bool { return member.Name == name })
}

// recordEpoch starts a ledger epoch whose holders are the voters, unless the
// newest epoch has these holders already.
func (c *Control) recordEpoch(ctx context.Context) error {
	holders := c.holders()
	epoch := c.options.Registry.Epoch()
	if slices.Equal(holders, epoch.Holders) {
		return nil
	}
	_, err := c.propose(ctx, setEpochCommand(epoch.Number, holders))
	return err
}

func (c *Control) handleRemoveVM(ctx echo.Context) error {
	name := ctx.Param("name")
	if err := c.readBarrier(ctx.Request().Context()); err != nil {
		return err
	}
	changeCtx, cancel := context.WithTimeout(ctx.Request().Context(), memberChangeTimeout)
	defer cancel()
	if err := c.removeVM(changeCtx, name); err != nil {
		return err
	}
	observe.Log(c.options.Log, observe.ControlVMRemoved).Str("peer_vm", name).Send()
	return ctx.JSON(http.StatusOK, c.vmList())
}

// removeVM removes a control VM from the group, from the holders of claim
// records and from the registry. It is idempotent.
func (c *Control) removeVM(ctx context.Context, name string) error {
	if len(c.options.Group.Members()) == 1 && c.isMember(name) {
		return &operatorapi.ErrorReply{Code: operatorapi.ErrorRefused, Message: "the last control VM can't be removed"}
	}
	if c.isMember(name) {
		if err := c.options.Group.RemoveMember(ctx, name); err != nil {
			return err
		}
	}
	if err := c.recordEpoch(ctx); err != nil {
		return err
	}
	_, err := c.propose(ctx, removeControlVMCommand(name))
	return err
}
