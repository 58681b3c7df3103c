package place

// inFlightTable counts the requests that this VM has in progress on each
// server. Servers without any have no entry, so its size is bounded by the
// requests in progress.
type inFlightTable struct {
	counts map[string]int64
}

func newInFlightTable() *inFlightTable {
	return &inFlightTable{counts: map[string]int64{}}
}

func (t *inFlightTable) count(server string) int64 { return t.counts[server] }

func (t *inFlightTable) begin(server string) { t.counts[server]++ }

func (t *inFlightTable) end(server string) {
	if t.counts[server] <= 1 {
		delete(t.counts, server)
		return
	}
	t.counts[server]--
}
