package distribute

import (
	"math"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/distribute/distributepb"
)

// seedMessages adds the encodings of messages, whole and truncated to half, to the seed corpus.
func seedMessages(f *testing.F, messages ...proto.Message) {
	for _, message := range messages {
		encoded, err := proto.Marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
		f.Add(encoded[:len(encoded)/2])
	}
}

// FuzzReceive checks that a VM refuses every received bundle that has no valid signature.
func FuzzReceive(f *testing.F) {
	content := []byte(`{"name":"b"}`)
	compressed, err := bundle.Compress(content, nil)
	if err != nil {
		f.Fatal(err)
	}
	seedMessages(f, &distributepb.Bundle{
		Version: 3, Digest: bundle.Digest(content), Content: compressed,
		Signatures: []*distributepb.Signature{{Key: "ana", Value: "AAAA"}},
	}, &distributepb.Bundle{Version: 3, Base: 2, Content: compressed})
	keys, err := bundle.NewKeyring(1, nil)
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		message := &distributepb.Bundle{}
		if proto.Unmarshal(encoded, message) != nil {
			return
		}
		node := NewNode(NodeOptions{Keys: keys, Holder: bundle.NewHolder(), Log: zerolog.Nop()})
		require.Error(t, node.applyBundle(message, "peer"))
		require.Nil(t, node.Store().Newest())
	})
}

// FuzzReports merges arbitrary reports and checks that those stored are within their bounds and not confirmed in the
// future, and that merging them again requests no body.
func FuzzReports(f *testing.F) {
	seedMessages(f, &distributepb.WatchUp{Version: 1, Reports: []*distributepb.Report{
		{Vm: "entry-a1", Zone: "a", Incarnation: 1, Sequence: 1, Body: &distributepb.ReportBody{
			Version: 1, Servers: []*distributepb.Server{{Id: "e1", Address: "10.0.0.1:80", Models: []*distributepb.Model{{Name: "lace"}}}},
		}},
		{Vm: "entry-a2", AgeMs: -5},
		{Vm: "entry-a3", AgeMs: math.MaxInt64, Body: &distributepb.ReportBody{}},
	}})
	f.Fuzz(func(t *testing.T, encoded []byte) {
		message := &distributepb.WatchUp{}
		if proto.Unmarshal(encoded, message) != nil {
			return
		}
		now := time.Unix(1e9, 0)
		reports := NewReports()
		reports.Merge(message.GetReports(), now)
		for _, report := range reports.All(now) {
			require.LessOrEqual(t, len(report.VM), maxReportNameBytes)
			require.LessOrEqual(t, len(report.Servers), maxReportServers)
			require.False(t, report.ConfirmedAt.After(now), "a report must not be confirmed in the future")
		}
		require.Empty(t, reports.Merge(reports.messages(now), now), "the bodies of forwarded reports must be known")
	})
}

// TestReportsOfLostVMsExpire checks that reports expire in All on a VM that never calls messages because it has no
// upstream, such as the leader.
func TestReportsOfLostVMsExpire(t *testing.T) {
	now := time.Unix(1e9, 0)
	reports := NewReports()
	reports.Merge([]*distributepb.Report{{Vm: "entry-a1", Body: &distributepb.ReportBody{Version: 1}}}, now)
	require.Len(t, reports.All(now.Add(maxReportAge)), 1)
	require.Empty(t, reports.All(now.Add(maxReportAge+time.Second)))
}
