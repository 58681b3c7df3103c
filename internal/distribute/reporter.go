package distribute

import (
	"time"

	"godwityoke.example/godwityoke/internal/distribute/distributepb"
)

// reporter decides which reports go up one stream: a body once for each
// change, and a short confirmation of the rest every reportInterval.
type reporter struct {
	sent        map[string]reportMark
	confirmedAt time.Time
}

// reportMark names the state of a report.
type reportMark struct {
	incarnation, sequence uint64
}

func newReporter() *reporter {
	return &reporter{sent: map[string]reportMark{}}
}

// next returns what is to be sent at now out of all reports.
func (r *reporter) next(all []*distributepb.Report, now time.Time) []*distributepb.Report {
	confirm := now.Sub(r.confirmedAt) >= reportInterval
	if confirm {
		r.confirmedAt = now
	}
	var due []*distributepb.Report
	for _, report := range all {
		mark := reportMark{report.GetIncarnation(), report.GetSequence()}
		if r.sent[report.GetVm()] != mark {
			r.sent[report.GetVm()] = mark
			due = append(due, report)
			continue
		}
		if confirm {
			due = append(due, confirmation(report))
		}
	}
	return due
}

// forget makes the bodies of these VMs' reports due again.
func (r *reporter) forget(vms []string) {
	for _, vm := range vms {
		delete(r.sent, vm)
	}
}

func confirmation(report *distributepb.Report) *distributepb.Report {
	return &distributepb.Report{
		Vm: report.GetVm(), Incarnation: report.GetIncarnation(), Sequence: report.GetSequence(), AgeMs: report.GetAgeMs(),
	}
}
