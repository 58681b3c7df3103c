package soak

import (
	"os/exec"
	"path/filepath"
	"testing"

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
