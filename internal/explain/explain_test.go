package explain

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const collected = `  1.2 entry-1 {"vm":"entry-1","event":3205,"name":"request_placed","request":"r1","time":"2026-01-01T00:00:02Z"}
text without JSON that contains r1
{"vm":"entry-1","event":3205,"name":"request_placed","request":"r11","time":"2026-01-01T00:00:02Z"}
{"vm":"entry-1","event":3203,"name":"request_answered","request":"r1","time":"2026-01-01T00:00:01Z"}
{"vm":"entry-2","event":3200,"name":"request_refused","request":"r1","time":"2026-01-01T00:00:00Z"}
{"vm":"entry-2","event":3200,"name":"cut
`

func TestTimelineMergesVMsAndKeepsTheOrderOfEachVM(t *testing.T) {
	lines, err := Read(strings.NewReader(collected), "r1")
	require.NoError(t, err)
	var names []string
	for _, line := range Timeline(lines) {
		names = append(names, line.VM+" "+line.Name)
	}
	require.Equal(t, []string{"entry-2 request_refused", "entry-1 request_placed", "entry-1 request_answered"}, names,
		"the clock of entry-1 was set back between its lines")
}

func TestReadFailsOnOverlongLine(t *testing.T) {
	_, err := Read(strings.NewReader(strings.Repeat("x", maxLineBytes+1)), "r1")
	require.Error(t, err)
}
