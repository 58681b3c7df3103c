package distribute

import (
	"time"

	"godwityoke.example/godwityoke/internal/distribute/distributepb"
)

// reporter selects the reports to send on one stream to the upstream: each changed report once with its body, and
// every reportInterval a confirmation without body of each unchanged report.
type reporter struct {
	// sent holds the state of each report that was last sent with its body, by VM name.
	sent map[string]reportState
	// confirmedAt is when the unchanged reports were last confirmed.
	confirmedAt time.Time
}

// reportState identifies the state of one VM's report.
type reportState struct {
	incarnation, sequence uint64
}

func newReporter() *reporter {
	return &reporter{sent: map[string]reportState{}}
}

// dueReports returns the messages to send at now and records them as sent.
func (r *reporter) dueReports(all []*distributepb.Report, now time.Time) []*distributepb.Report {
	confirm := now.Sub(r.confirmedAt) >= reportInterval
	if confirm {
		r.confirmedAt = now
	}
	var due []*distributepb.Report
	for _, report := range all {
		state := reportState{report.GetIncarnation(), report.GetSequence()}
		if r.sent[report.GetVm()] != state {
			r.sent[report.GetVm()] = state
			due = append(due, report)
			continue
		}
		if confirm {
			due = append(due, confirmation(report))
		}
	}
	return due
}

// markUnsent makes the reports of vms due again with their bodies.
func (r *reporter) markUnsent(vms []string) {
	for _, vm := range vms {
		delete(r.sent, vm)
	}
}

// confirmation returns report with its state and age, but without its body.
func confirmation(report *distributepb.Report) *distributepb.Report {
	return &distributepb.Report{
		Vm: report.GetVm(), Incarnation: report.GetIncarnation(), Sequence: report.GetSequence(), AgeMs: report.GetAgeMs(),
	}
}
