package ledger

import (
	"bytes"

	"godwityoke.example/godwityoke/internal/ledger/ledgerpb"
)

// verdict is the decision that a claimant derives from the replies of the holders.
type verdict int

const (
	// verdictPending means that too few holders answered to decide.
	verdictPending verdict = iota
	// verdictGranted means that the claimant has the entries of a majority.
	verdictGranted
	// verdictResolved means that the outcome of the call is recorded.
	verdictResolved
	// verdictSealed means that a majority is sealed, so that no attempt can run the call.
	verdictSealed
	// verdictInProgress means that a live rival has the entries of a majority and may
	// be running the call.
	verdictInProgress
	// verdictYield means that the claimant should hand its entries to a rival.
	verdictYield
	// verdictSplit means that a majority answered but no attempt has the entries of a
	// majority. The claimant may still get one if a rival yields.
	verdictSplit
	// verdictUnknown means that an attempt that is no longer live, or one of which an
	// entry became contested, may have run the call.
	verdictUnknown
)

// tally counts the entries in the replies to one request that was sent to all holders.
type tally struct {
	holders int
	// answered counts the holders that sent their entry.
	answered int
	// own counts the entries that the claimant's own attempt has claimed.
	own    int
	sealed int
	free   int
	// contested counts the entries for which a repair found contradicting records.
	contested int
	// resolved is an entry with a recorded outcome, nil if there is none.
	resolved *ledgerpb.Entry
	// digestConflict is set if an entry that is not the claimant's own has another
	// digest than the claim.
	digestConflict bool
	// rivals holds the other attempts that have claimed entries, by attempt ID.
	rivals map[string]rival
}

// rival is another attempt that has claimed entries.
type rival struct {
	entries int
	// live is set if the time limit of the rival's call has not passed yet, so that the
	// call may still be running.
	live   bool
	digest []byte
}

func majority(holders int) int { return holders/2 + 1 }

// tallyReplies counts the replies, one for each holder. A reply is nil if the holder did
// not answer, and has no entry if the holder doesn't grant claims in the epoch.
func tallyReplies(attempt string, digest []byte, replies []*ledgerpb.Reply) tally {
	t := tally{holders: len(replies), rivals: map[string]rival{}}
	for _, reply := range replies {
		if reply == nil || reply.Entry == nil {
			continue
		}
		t.answered++
		t.add(attempt, digest, reply)
	}
	return t
}

// add counts the entry of reply.
func (t *tally) add(attempt string, digest []byte, reply *ledgerpb.Reply) {
	entry := reply.Entry
	switch entry.State {
	case ledgerpb.State_STATE_FREE:
		t.free++
		return
	case ledgerpb.State_STATE_RESOLVED:
		t.resolved = entry
	case ledgerpb.State_STATE_SEALED:
		t.sealed++
	case ledgerpb.State_STATE_CONTESTED:
		t.contested++
	case ledgerpb.State_STATE_CLAIMED:
		if entry.Attempt == attempt {
			t.own++
			return
		}
		r := t.rivals[entry.Attempt]
		r.entries++
		r.live = r.live || reply.Live
		r.digest = entry.Digest
		t.rivals[entry.Attempt] = r
	}
	if len(digest) > 0 && len(entry.Digest) > 0 && !bytes.Equal(entry.Digest, digest) {
		t.digestConflict = true
	}
}

// decide returns what a claimant does next, and with verdictYield the attempt ID of the
// rival to yield to. It doesn't depend on the digests; see tally.digestConflict.
func (t *tally) decide(attempt string) (verdict, string) {
	need := majority(t.holders)
	switch {
	case t.resolved != nil:
		return verdictResolved, ""
	case t.own >= need:
		return verdictGranted, ""
	case t.sealed >= need:
		return verdictSealed, ""
	}
	for _, r := range t.rivals {
		if r.entries >= need && r.live {
			return verdictInProgress, ""
		}
		if r.entries >= need {
			return verdictUnknown, ""
		}
	}
	if t.own > 0 {
		if preferred := t.preferredRival(attempt); preferred != "" {
			return verdictYield, preferred
		}
	}
	// An attempt that had the entries of a majority may have lost one to a contested entry.
	if t.contested > 0 && t.own+t.free < need {
		return verdictUnknown, ""
	}
	if t.answered < need {
		return verdictPending, ""
	}
	return verdictSplit, ""
}

// preferredRival returns the attempt ID of the live rival with the lowest ID, or "" if
// none is below attempt. All claimants use the same order, so all that see the lowest
// attempt yield their entries to it.
func (t *tally) preferredRival(attempt string) string {
	preferred := attempt
	for id, r := range t.rivals {
		if r.live && id < preferred {
			preferred = id
		}
	}
	if preferred == attempt {
		return ""
	}
	return preferred
}
