package control

import (
	"slices"
	"strings"
	"time"

	"godwityoke.example/godwityoke/internal/distribute"
	"godwityoke.example/godwityoke/internal/operatorapi"
)

// outOfReachAfter is the time without a report after which a VM counts as out
// of reach. It covers three confirmations on a path through other VMs.
const outOfReachAfter = 15 * time.Second

// ExpectedVM is a VM that a bundle has to reach.
type ExpectedVM struct {
	Name    string
	Zone    string
	Control bool
}

// zoneStatuses tells, by zone, which VMs have version in force, from what the
// VMs reported up to now. It is pure.
func zoneStatuses(version uint64, expected []ExpectedVM, reports []distribute.Report, now time.Time) []operatorapi.ZoneStatus {
	byZone := map[string][]operatorapi.VMStatus{}
	reported := map[string]bool{}
	for _, report := range reports {
		reported[report.VM] = true
		byZone[report.Zone] = append(byZone[report.Zone], vmStatus(version, report, now))
	}
	for _, vm := range expected {
		if reported[vm.Name] {
			continue
		}
		reported[vm.Name] = true
		status := operatorapi.VMStatus{Name: vm.Name, Control: vm.Control, State: operatorapi.VMUnreachable, SinceLastReport: -1}
		byZone[vm.Zone] = append(byZone[vm.Zone], status)
	}
	zones := make([]operatorapi.ZoneStatus, 0, len(byZone))
	for zone, vms := range byZone {
		slices.SortFunc(vms, func(a, b operatorapi.VMStatus) int { return strings.Compare(a.Name, b.Name) })
		zones = append(zones, operatorapi.ZoneStatus{Zone: zone, State: zoneState(vms), VMs: vms})
	}
	slices.SortFunc(zones, func(a, b operatorapi.ZoneStatus) int { return strings.Compare(a.Zone, b.Zone) })
	return zones
}

func vmStatus(version uint64, report distribute.Report, now time.Time) operatorapi.VMStatus {
	status := operatorapi.VMStatus{
		Name:            report.VM,
		Control:         report.Control,
		State:           operatorapi.VMInForce,
		Version:         report.Version,
		SinceLastReport: now.Sub(report.ConfirmedAt),
	}
	switch {
	case status.SinceLastReport > outOfReachAfter:
		status.State = operatorapi.VMUnreachable
	case report.Version < version:
		status.State = operatorapi.VMBehind
	}
	return status
}

func zoneState(vms []operatorapi.VMStatus) operatorapi.ZoneState {
	counts := map[operatorapi.VMState]int{}
	for _, vm := range vms {
		counts[vm.State]++
	}
	switch {
	case counts[operatorapi.VMUnreachable] == len(vms):
		return operatorapi.ZoneUnreachable
	case counts[operatorapi.VMBehind] > 0:
		return operatorapi.ZoneUpdating
	case counts[operatorapi.VMUnreachable] > 0:
		return operatorapi.ZonePartlyUnreachable
	}
	return operatorapi.ZoneInForce
}
