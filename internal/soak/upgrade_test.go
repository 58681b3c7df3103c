package soak

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// previousVersion is the commit of the version that VMs of this one must work beside.
const previousVersion = "35f6b4c"

// buildPrevious builds the previous version from the repository's history.
func buildPrevious(t *testing.T) string {
	t.Helper()
	if err := exec.Command("git", "cat-file", "-e", previousVersion+"^{commit}").Run(); err != nil {
		t.Skipf("the history lacks commit %s", previousVersion)
	}
	folder := t.TempDir()
	extract := exec.Command("sh", "-c", `git -C "$(git rev-parse --show-toplevel)" archive `+previousVersion+` | tar -x -C "$0"`, folder)
	output, err := extract.CombinedOutput()
	require.NoError(t, err, "%s", output)
	binary := filepath.Join(t.TempDir(), "godwityoke-previous")
	build := exec.Command("go", "build", "-o", binary, "./cmd/godwityoke")
	build.Dir = folder
	output, err = build.CombinedOutput()
	require.NoError(t, err, "%s", output)
	return binary
}

// Every VM is replaced by the new version and then by the previous one again, one after the
// other under load, in two orders.
func TestVersionsRunSideBySide(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes for half a minute")
	}
	binary := filepath.Join(t.TempDir(), "godwityoke")
	output, err := exec.Command("go", "build", "-o", binary, "../../cmd/godwityoke").CombinedOutput()
	require.NoError(t, err, "%s", output)
	previous := buildPrevious(t)
	size := topology{entries: 3, controls: 3}
	controls := []string{size.control(0), size.control(1), size.control(2)}
	entries := []string{size.entry(0), size.entry(1), size.entry(2)}
	for _, c := range []struct {
		name  string
		order []string
	}{
		{"control VMs first", append(append([]string{}, controls...), entries...)},
		{"entry VMs first", append(append([]string{}, entries...), controls...)},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			const interval = 2500 * time.Millisecond
			at := time.Second
			var plan []Step
			for variant := range 2 {
				for _, vm := range c.order {
					plan = append(plan, Step{At: at, Kind: KindReplaceVersion, Target: vm, Variant: variant})
					if vm == controls[1] || vm == entries[1] {
						plan = append(plan, Step{At: at + interval/2, Kind: KindConfigChange})
					}
					at += interval
				}
			}
			report, err := Run(t.Context(), Options{
				Binary: binary, Previous: previous, Seed: 1, Block: takeBlock(t), Folder: t.TempDir(),
				Entries: 3, Controls: 3, Models: 6, Desks: 2, Clients: 32, plan: plan, load: at + 3*time.Second,
			})
			require.NoError(t, err)
			require.Empty(t, report.Findings)
			require.Greater(t, report.Served, report.Requests/2)
			t.Logf("%d of %d requests served", report.Served, report.Requests)
		})
	}
}
