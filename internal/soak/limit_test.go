package soak

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Servers that name a limit in their answers got as many requests as before.
func TestServersGetNoMoreRequestsThanTheyNamed(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes for half a minute")
	}
	binary := filepath.Join(t.TempDir(), "godwityoke")
	output, err := exec.Command("go", "build", "-o", binary, "../../cmd/godwityoke").CombinedOutput()
	require.NoError(t, err, "%s", output)
	size := topology{entries: 6, controls: 3, models: 6, desks: 2}
	limit := func(at, duration time.Duration, worker, tenths int) Step {
		return Step{At: at, Duration: duration, Kind: KindWorkerLimit, Target: size.worker(worker), Variant: tenths}
	}
	plans := map[string][]Step{
		"one of six":                           {limit(time.Second, 14*time.Second, 0, 16)},
		"one of six and one of two plain ones": {limit(time.Second, 14*time.Second, 0, 10), limit(time.Second, 14*time.Second, 6, 20)},
		"named, taken back and named again":    {limit(time.Second, 7*time.Second, 2, 16), limit(10*time.Second, 7*time.Second, 2, 10)},
	}
	killed := []Step{limit(time.Second, 15*time.Second, 1, 16)}
	for i := range 4 {
		killed = append(killed, Step{At: time.Duration(2+3*i) * time.Second, Kind: KindKill, Target: size.control(i % size.controls)})
	}
	plans["one of six, while control VMs are killed in turn"] = killed
	for i := range size.models {
		plans["all model servers"] = append(plans["all model servers"], limit(time.Second, 14*time.Second, i, 16))
	}
	for name, plan := range plans {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			report, err := Run(t.Context(), Options{
				Binary: binary, Seed: 1, Block: takeBlock(t), Folder: t.TempDir(), JudgeAtEnd: true,
				Entries: size.entries, Controls: size.controls, Models: size.models, Desks: size.desks, Clients: 40, plan: plan, load: 20 * time.Second,
			})
			require.NoError(t, err)
			t.Log(report.Limits)
			require.Empty(t, report.Findings)
			require.NotEmpty(t, report.Limits)
			require.Positive(t, report.Served)
		})
	}
}
