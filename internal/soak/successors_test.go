package soak

import (
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newcomersPlan replaces all control VMs in turn by others at other addresses, so that no seed is left, and then freezes the
// newcomers in turn, beside changes of the configuration.
func newcomersPlan(s topology) (plan []Step, load time.Duration) {
	const (
		replaceInterval = 7 * time.Second
		freezeInterval  = 9 * time.Second
		freezeTime      = 4500 * time.Millisecond
		changeInterval  = 3700 * time.Millisecond
	)
	at := time.Second
	for i := range s.controls {
		plan = append(plan, Step{At: at, Kind: KindReplaceControl, Target: s.control(i)})
		at += replaceInterval
	}
	for i := range s.controls {
		plan = append(plan, Step{At: at, Duration: freezeTime, Kind: KindFreeze, Target: s.successor(i)})
		at += freezeInterval
	}
	for change := time.Duration(0); change < at; change += changeInterval {
		plan = append(plan, Step{At: change, Kind: KindConfigChange})
	}
	return plan, at + recoveryTime
}

// Entry VMs whose seeds are all gone refused routes that had been acknowledged, after their control VM had fallen silent.
func TestEntryVMsFollowAfterAllControlVMsWereReplaced(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes for a minute")
	}
	t.Parallel()
	binary := filepath.Join(t.TempDir(), "godwityoke")
	output, err := exec.Command("go", "build", "-o", binary, "../../cmd/godwityoke").CombinedOutput()
	require.NoError(t, err, "%s", output)
	plan, load := newcomersPlan(topology{controls: 3})
	report, err := Run(t.Context(), Options{
		Binary: binary, Seed: 1, Block: takeBlock(t), Folder: t.TempDir(),
		Entries: 6, Controls: 3, Models: 4, Desks: 2, Clients: 32, plan: plan, load: load,
	})
	require.NoError(t, err)
	t.Log(report.Outdated)
	require.Empty(t, report.Findings)
	require.Positive(t, report.Served)
}

func TestTurnoverReplacesEachControlVMOnceAndSparesTheirPredecessors(t *testing.T) {
	for _, size := range []topology{{entries: 3, controls: 3, models: 4, desks: 2}, {entries: 24, controls: 7, models: 24, desks: 6}} {
		for seed := range uint64(50) {
			plan := addTurnover(makePlan(seed, size), seed, size)
			require.Equal(t, plan, addTurnover(makePlan(seed, size), seed, size))
			replaced, frozen := map[string]bool{}, 0
			var lastAt time.Duration
			for _, step := range plan {
				if step.Kind == KindReplaceControl || step.Kind == KindFreeze && strings.HasPrefix(step.Target, controlPrefix) {
					require.True(t, len(replaced) == 0 || step.At-lastAt >= turnoverInterval-time.Second, "two control VMs are lost at once")
					lastAt = step.At
				}
				require.Less(t, step.At+step.Duration, loadTime-finalWindow, "%v", step)
				switch step.Kind {
				case KindReplaceControl:
					require.False(t, replaced[step.Target])
					replaced[step.Target] = true
				case KindFreeze:
					require.NotContains(t, replaced, step.Target)
					if strings.HasPrefix(step.Target, controlPrefix) {
						frozen++
					}
				case KindKillControlVMs:
					require.Fail(t, "would start a replaced VM again")
				}
			}
			require.Equal(t, 3, len(replaced)+frozen)
		}
	}
}

// Workers of tests without control VMs have no list.
func TestNilAddressListIsEmpty(t *testing.T) {
	var none *addressList
	require.Empty(t, none.all())
	list := newAddressList("a", "b")
	list.replace("a", "c")
	list.replace("x", "y")
	require.Equal(t, []string{"c", "b"}, list.all())
	require.Equal(t, "b", list.at(3))
}
