package bundle

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func exampleBundle(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("../../examples/bundle.json")
	require.NoError(t, err)
	return string(text)
}

func TestExampleBundleIsValid(t *testing.T) {
	parsed, findings := Parse("bundle.json", []byte(exampleBundle(t)))
	require.Empty(t, findings.Error())
	require.Equal(t, int64(16<<30), int64(parsed.Models[0].WeightBytes))
}

func TestInvalidValuesAreReportedWithTheirPath(t *testing.T) {
	cases := []struct{ name, old, new, finding string }{
		{"missing model", `"models": ["scribe"],
`, `"models": ["scribbler"],
`, `teams[1].models[0]: names a missing model "scribbler"`},
		{"missing service", `"services": ["booking"]`, `"services": ["bookings"]`, `teams[0].services[0]: names a missing service "bookings"`},
		{"shares over 100 %", `"share_percent": 40`, `"share_percent": 41`, "teams[1].share_percent: the shares sum up to 101 % with this team"},
		{"memory below one prompt", `"engine_memory_tokens": 2097152`, `"engine_memory_tokens": 1000`, "teams[1].limits.engine_memory_tokens: 1000 is smaller than one longest prompt"},
		{"body below one prompt", `"max_body": "16MiB"`, `"max_body": "1MiB"`, "limits.max_body: is smaller than one longest prompt of models[0], allowed: 4194304B or more"},
		{"classes out of order", `"max_prompt_tokens": 65536`, `"max_prompt_tokens": 4096`, "classes[1].max_prompt_tokens: 4096 is not above the class before"},
		{"stall beyond limit", `"stall_limit": "30s"`, `"stall_limit": "30m"`, "classes[2].stall_limit: is longer than time_limit"},
		{"key of two teams", `4ac47e905fa8a47fd10c01ee86d43cdd33125601c9006cf8e2b7d119fd092c58`, `1de5c86fdf28b8e375076dd174adde1a5b72af56365f36d8d8d5ca239b1a912b`, "teams[1].key_sha256[0]: the key is repeated"},
		{"no method", `"method": "GET"`, `"method": "FETCH"`, `services[0].operations[1].method: "FETCH" is no method`},
		{"wildcard inside", `"/voyages/*"`, `"/*/voyages"`, "services[0].operations[1].path: has * in the middle"},
		{"priority", `"priority": 8`, `"priority": 10`, "teams[0].priority: 10 is out of range, allowed: 0 to 9"},
		{"short retention", `"min_time_limit": "50ms"`, `"min_time_limit": "50ms", "claim_retention": "1m"`, "limits.claim_retention: 1m0s is shorter than a call may take"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Contains(t, exampleBundle(t), c.old)
			_, findings := Parse("b.json", []byte(strings.Replace(exampleBundle(t), c.old, c.new, 1)))
			require.Contains(t, findings.Error(), c.finding)
		})
	}
}

// TestHolderVersionNeverDecreases guards against a late message that puts an old bundle
// in force again.
func TestHolderVersionNeverDecreases(t *testing.T) {
	holder := NewHolder()
	changed := holder.Changed()
	require.True(t, holder.Advance(&AcceptedBundle{Version: 3}))
	<-changed
	require.False(t, holder.Advance(&AcceptedBundle{Version: 3}))
	require.False(t, holder.Advance(&AcceptedBundle{Version: 2}))
	require.Equal(t, uint64(3), holder.Current().Version)
}
