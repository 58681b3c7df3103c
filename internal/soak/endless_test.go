package soak

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Most workers answer without end, in heads and in bodies. The entry VMs must keep their
// memory and serve the requests that reach the other workers.
func TestAnswersWithoutEndLeaveMemoryAndServiceToOthers(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes for a quarter of a minute")
	}
	binary := filepath.Join(t.TempDir(), "godwityoke")
	output, err := exec.Command("go", "build", "-o", binary, "../../cmd/godwityoke").CombinedOutput()
	require.NoError(t, err, "%s", output)
	size := topology{entries: 1, controls: 3, models: 3, desks: 14}
	var plan []Step
	for _, i := range []int{0, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14} {
		plan = append(plan, Step{At: time.Second, Duration: 6 * time.Second, Kind: KindEndlessAnswers, Target: size.worker(i)})
	}
	report, err := Run(t.Context(), Options{
		Binary: binary, Seed: 1, Block: takeBlock(t), Folder: t.TempDir(),
		Entries: size.entries, Controls: size.controls, Models: size.models, Desks: size.desks, Clients: 240,
		plan: plan, load: 9 * time.Second,
	})
	require.NoError(t, err)
	require.Empty(t, report.Findings)
	require.Positive(t, report.Served)
	for vm, peak := range report.PeakMemoryBytes {
		require.Less(t, peak, baseSettings.MemoryBytes*6/10, "peak memory of %s", vm)
	}
	t.Logf("%d of %d requests served, peak memory %v", report.Served, report.Requests, report.PeakMemoryBytes)
}
