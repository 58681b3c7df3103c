package soak

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSeedsThatFailedOnce runs, on the real program, seeds that once revealed a fault of the platform.
func TestSeedsThatFailedOnce(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes for half a minute a seed")
	}
	binary := filepath.Join(t.TempDir(), "godwityoke")
	output, err := exec.Command("go", "build", "-o", binary, "../../cmd/godwityoke").CombinedOutput()
	require.NoError(t, err, "%s", output)
	for i, options := range []Options{
		{Seed: 104, Entries: 5, Controls: 5, Models: 6, Desks: 3, Clients: 60},
		{Seed: 3, Entries: 3, Controls: 3, Models: 4, Desks: 2, Clients: 16},
	} {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			options.Binary, options.Block, options.Folder = binary, 150+i, t.TempDir()
			report, err := Run(t.Context(), options)
			require.NoError(t, err)
			require.Empty(t, report.Findings)
			require.Positive(t, report.Served)
		})
	}
}

// Callers of entry VMs that are cut off from all workers must be served about as often as those of the others.
func TestCutOffEntryVMsServeTheirCallers(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes for half a minute")
	}
	binary := filepath.Join(t.TempDir(), "godwityoke")
	output, err := exec.Command("go", "build", "-o", binary, "../../cmd/godwityoke").CombinedOutput()
	require.NoError(t, err, "%s", output)
	const start = time.Second
	for i, c := range []struct {
		name    string
		variant int
		vms     []string
	}{
		{"bytes are held", cutHold, []string{"entry-1", "entry-2"}},
		{"connections are reset", cutReset, []string{"entry-1"}},
		{"only new connections are refused", cutRefuse, []string{"entry-2", "entry-3"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			report, err := Run(t.Context(), Options{
				Binary: binary, Seed: 1, Block: 160 + i, Folder: t.TempDir(),
				Entries: 3, Controls: 3, Models: 6, Desks: 2, Clients: 48,
				plan: []Step{{At: start, Duration: serverCutTime, Kind: KindServerCut, Targets: c.vms, Variant: c.variant}},
				load: start + serverCutTime + recoveryTime + finalWindow,
			})
			require.NoError(t, err)
			t.Log(report.ServerCuts)
			require.Empty(t, report.Findings)
			require.Positive(t, report.Served)
		})
	}
}
