package control

import (
	"slices"
	"strings"
	"time"

	"godwityoke.example/godwityoke/internal/distribute"
	"godwityoke.example/godwityoke/internal/operatorapi"
)

// unreachableAfter is the maximum age of the last report of a VM; a VM with an older
// one is considered unreachable. It covers three report intervals on a path through
// other VMs.
const unreachableAfter = 15 * time.Second

// ExpectedVM is a VM that has to have each bundle in force.
type ExpectedVM struct {
	Name string
	Zone string
	// Control is true for a control VM, false for an entry VM.
	Control bool
}

// zoneStatuses returns the status of each availability zone for the bundle
// version, sorted by zone. It covers all VMs that have reported, and the expected
// VMs without a report as unreachable.
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
	case status.SinceLastReport > unreachableAfter:
		status.State = operatorapi.VMUnreachable
	case report.Version < version:
		status.State = operatorapi.VMBehind
	}
	return status
}

// zoneState returns the state of a zone with the given VMs.
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
