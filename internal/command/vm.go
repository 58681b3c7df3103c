package command

import (
	"fmt"

	"godwityoke.example/godwityoke/internal/operatorapi"
)

// VMArguments are the commands on members of the control group.
type VMArguments struct {
	List   *VMListArguments   `arg:"subcommand:list" help:"list the control VMs"`
	Add    *VMAddArguments    `arg:"subcommand:add" help:"add a control VM, or the new one in place of a lost one"`
	Remove *VMRemoveArguments `arg:"subcommand:remove" help:"remove a control VM"`
}

func (a *VMArguments) run(output Output) (int, bool) {
	switch {
	case a.List != nil:
		return a.List.run(output), true
	case a.Add != nil:
		return a.Add.run(output), true
	case a.Remove != nil:
		return a.Remove.run(output), true
	}
	return ExitUsage, false
}

// VMListArguments are the arguments of "vm list".
type VMListArguments struct {
	ControlVMArguments
}

func (a *VMListArguments) run(output Output) int {
	client, ctx, cancel, err := a.client()
	if err != nil {
		return output.fail(err)
	}
	defer cancel()
	list, err := client.VMs(ctx)
	if err != nil {
		return output.fail(err)
	}
	output.vmList(list)
	return ExitOK
}

func (o Output) vmList(list *operatorapi.VMList) {
	for _, vm := range list.Members {
		role := "voter"
		if vm.Learner {
			role = "learner"
		}
		if vm.Leader {
			role = "leader"
		}
		_, _ = fmt.Fprintf(o.Out, "%s zone=%s internal=%s operators=%s member=%d %s behind=%d\n",
			vm.Name, vm.Zone, vm.Internal, vm.Operators, vm.MemberID, role, vm.BehindEntries)
	}
}

// VMAddArguments are the arguments of "vm add".
type VMAddArguments struct {
	ControlVMArguments
	Name             string `arg:"positional,required" help:"VM name"`
	Zone             string `arg:"--zone,required" help:"availability zone"`
	InternalAddress  string `arg:"--internal,required" help:"ip:port of its gRPC listener"`
	OperatorsAddress string `arg:"--operators,required" help:"ip:port of its operators' listener"`
}

func (a *VMAddArguments) run(output Output) int {
	client, ctx, cancel, err := a.client()
	if err != nil {
		return output.fail(err)
	}
	defer cancel()
	request := &operatorapi.VMRequest{Name: a.Name, Zone: a.Zone, Internal: a.InternalAddress, Operators: a.OperatorsAddress}
	list, err := client.AddVM(ctx, request)
	if err != nil {
		return output.fail(err)
	}
	output.vmList(list)
	return ExitOK
}

// VMRemoveArguments are the arguments of "vm remove".
type VMRemoveArguments struct {
	ControlVMArguments
	Name string `arg:"positional,required" help:"VM name"`
}

func (a *VMRemoveArguments) run(output Output) int {
	client, ctx, cancel, err := a.client()
	if err != nil {
		return output.fail(err)
	}
	defer cancel()
	list, err := client.RemoveVM(ctx, a.Name)
	if err != nil {
		return output.fail(err)
	}
	output.vmList(list)
	return ExitOK
}
