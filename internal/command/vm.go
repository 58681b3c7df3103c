package command

import (
	"fmt"

	"godwityoke.example/godwityoke/internal/operatorapi"
)

// VMArguments holds the subcommands of "vm".
type VMArguments struct {
	List   *VMListArguments   `arg:"subcommand:list" help:"list the control VMs and their roles"`
	Add    *VMAddArguments    `arg:"subcommand:add" help:"add a control VM to the control group, also a new one in place of a lost one"`
	Remove *VMRemoveArguments `arg:"subcommand:remove" help:"remove a control VM from the control group"`
}

// run runs the subcommand and returns its exit code, or false if there is none.
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
	output.printVMs(list)
	return ExitOK
}

// printVMs prints one line for each control VM.
func (o Output) printVMs(list *operatorapi.VMList) {
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
	Name             string `arg:"positional,required" help:"name of the control VM"`
	Zone             string `arg:"--zone,required" help:"availability zone of the control VM"`
	InternalAddress  string `arg:"--internal,required" help:"ip:port at which the control VM listens for other VMs (gRPC)"`
	OperatorsAddress string `arg:"--operators,required" help:"ip:port at which the control VM listens for operators"`
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
	output.printVMs(list)
	return ExitOK
}

// VMRemoveArguments are the arguments of "vm remove".
type VMRemoveArguments struct {
	ControlVMArguments
	Name string `arg:"positional,required" help:"name of the control VM"`
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
	output.printVMs(list)
	return ExitOK
}
