package ledger

import (
	"bytes"

	"godwityoke.example/godwityoke/internal/ledger/ledgerpb"
)

// verdict is what the replies of the holders mean for one claimant.
type verdict int

const (
	// verdictPending means that too few holders answered to decide.
	verdictPending verdict = iota
	// verdictGranted means that the claimant holds a majority.
	verdictGranted
	// verdictResolved means that the end of the call is recorded.
	verdictResolved
	// verdictSealed means that a majority is sealed: nobody can run the call.
	verdictSealed
	// verdictInProgress means that another claimant holds a majority and may
	// be at work.
	verdictInProgress
	// verdictYield means that the claimant should hand its entries to rival.
	verdictYield
	// verdictSplit means that every holder that answers is taken and nobody
	// holds a majority yet; the claimant may win when a rival yields.
	verdictSplit
	// verdictUnknown means that a claimant may have run the call and is gone.
	verdictUnknown
)

// tally is the count of one round of replies.
type tally struct {
	holders  int
	answered int
	own      int
	sealed   int
	free     int
	// contested counts entries that a repair found contradicting each other.
	contested int
	resolved  *ledgerpb.Entry
	// conflict is set when an entry carries another digest.
	conflict bool
	rivals   map[string]rival
}

// rival is another attempt that holds entries.
type rival struct {
	held int
	// live tells whether the rival may be at work.
	live   bool
	digest []byte
}

func majority(holders int) int { return holders/2 + 1 }

// count evaluates one reply for each holder; a nil reply stands for a holder
// that did not answer or grants nothing in this epoch.
func count(attempt string, digest []byte, replies []*ledgerpb.Reply) tally {
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
		known := t.rivals[entry.Attempt]
		known.held++
		known.live = known.live || reply.Live
		known.digest = entry.Digest
		t.rivals[entry.Attempt] = known
	}
	if len(digest) > 0 && len(entry.Digest) > 0 && !bytes.Equal(entry.Digest, digest) {
		t.conflict = true
	}
}

// decide decides what a claimant does next. The second result is the rival
// that verdictYield names. Whether the digests agree does not change it: see
// tally.conflict.
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
	for _, other := range t.rivals {
		if other.held >= need && other.live {
			return verdictInProgress, ""
		}
		if other.held >= need {
			return verdictUnknown, ""
		}
	}
	if t.own > 0 {
		if preferred := t.preferredRival(attempt); preferred != "" {
			return verdictYield, preferred
		}
	}
	if t.contested > 0 && t.own+t.free < need {
		return verdictUnknown, ""
	}
	if t.answered < need {
		return verdictPending, ""
	}
	return verdictSplit, ""
}

// preferredRival returns the live rival with the lowest attempt id when that is
// below attempt. All claimants agree on that order, so one of them gets the
// entries of all who see it.
func (t *tally) preferredRival(attempt string) string {
	preferred := attempt
	for id, other := range t.rivals {
		if other.live && id < preferred {
			preferred = id
		}
	}
	if preferred == attempt {
		return ""
	}
	return preferred
}
