package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestExampleFilesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/*.settings.json")
	require.NoError(t, err)
	require.Len(t, files, 2)
	for _, file := range files {
		_, findings, err := Load(file)
		require.NoError(t, err)
		require.Empty(t, findings.Error(), file)
	}
}

func example(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("../../examples/entry.settings.json")
	require.NoError(t, err)
	return string(text)
}

// load writes text to a file, loads it and returns the findings without the
// folder of the file.
func load(t *testing.T, text string) []string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "s.json")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	_, findings, err := Load(file)
	require.NoError(t, err)
	if len(findings) == 0 {
		return nil
	}
	return strings.Split(strings.ReplaceAll(findings.Error(), file, "s.json"), "\n")
}

func TestLoadReportsAllMistakesWithPositions(t *testing.T) {
	mistakes := strings.NewReplacer(
		`"roles": ["entry"]`, `"roles": ["entry", "boss"]`,
		`"127.0.0.1:8101",  //`, `"localhost:8101",  //`,
		`"max_in_flight": 4096`, `"max_in_flight": "many"`,
		`"silent_after": "2s"`, `"silent_after": "2 minutes"`,
		`"policy": "leases"`, `"policy": "leases", "policy": "leases", "colour": 1`,
	)
	require.Equal(t, []string{
		`s.json:6:22: roles[1]: "boss" is no role, allowed: entry, control`,
		`s.json:9:17: listen.backends: "localhost:8101" is no address, allowed: an IP number and a port, such as 10.0.0.5:7000`,
		`s.json:29:21: entry.silent_after: "2 minutes" is not a duration, allowed: a number with a unit, such as "250ms", "2s" or "1h"`,
		`s.json:30:22: entry.max_in_flight: "many" is not allowed here, allowed: a whole number`,
		`s.json:32:35: routing.policy: the key is repeated, allowed: each key once`,
		`s.json:32:55: routing.colour: the key is unknown, allowed: policy, lease_timeout, lease_term`,
	}, load(t, mistakes.Replace(example(t))))
}

func TestLoadReportsValuesThatContradictEachOther(t *testing.T) {
	cases := []struct{ name, old, new, finding string }{
		{"role without data folder", `"roles": ["entry"]`, `"roles": ["entry", "control"]`, "data_dir: is needed by the role control"},
		{"zone differs", `"zone": "a"}`, `"zone": "b"}`, `entry_vms[0].zone: "a" differs from vm.zone "b"`},
		{"not listed", `"vm": {"name": "entry-a1"`, `"vm": {"name": "entry-a9"`, `entry_vms: does not name this VM, "entry-a9"`},
		{"repeated address", `"internal": "127.0.0.1:8202"`, `"internal": "127.0.0.1:8201"`, "entry_vms[1].internal: 127.0.0.1:8201 is repeated"},
		{"even group", `    {"name": "control-c", "zone": "c", "internal": "127.0.0.1:9203", "operators": "127.0.0.1:9303"},`, ``, "control_vms: names 2 VMs, allowed: 1, 3, 5 or 7"},
		{"too many signatures", `"required_signatures": 1`, `"required_signatures": 2`, "operators.required_signatures: is out of range, allowed: 1 to 1"},
		{"plaintext off loopback", `"internal": "127.0.0.1:9202"`, `"internal": "10.0.0.2:9202"`, "tls.cert_file: is missing"},
		{"unresponsive time too long", `"silent_after": "2s"`, `"silent_after": "4s"`, "entry.silent_after: 4s is out of range, allowed: 1s to 2.5s"},
		{"missing key", `"cluster": "tidewake",`, ``, "cluster: the key is missing"},
		{"syntax", `"cluster":`, `"cluster"`, "JSON with // and /* */ comments"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Contains(t, example(t), c.old)
			found := load(t, strings.Replace(example(t), c.old, c.new, 1))
			require.Contains(t, strings.Join(found, "\n"), c.finding)
		})
	}
}
