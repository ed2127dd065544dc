package edge

import (
	"math/rand/v2"

	"snipeford"
	"snipeford/internal/control/directory"
)

// toldEra is what a node knows of eras by a peer's word alone. A wrong one would make it
// ignore all responses of the store as older.
type toldEra struct {
	// era is the era that the store has yet to state, or 0. It was told at an instant since
	// boot, and the node asks the store from checkAt on.
	era         snipeford.Era
	at, checkAt snipeford.Instant
	// refuted is the lowest era that was told and that the store did not state, or 0.
	refuted snipeford.Era
}

func (t *toldEra) isRefuted(era snipeford.Era) bool { return t.refuted > 0 && era >= t.refuted }

// noteTold records where an era that begins was learnt. The caller holds mu.
func (f *follower) noteTold(seen directory.Origin) {
	if seen.Feeder == "" {
		f.told = toldEra{}
		return
	}
	f.told.era, f.told.at, f.told.checkAt = seen.Era, f.timer.SinceBoot(), f.timer.Now()
	if f.snapshotSpread > 0 {
		f.told.checkAt = f.told.checkAt.Add(rand.N(f.snapshotSpread))
	}
}

// eraCheckDue reports whether the node has to ask the store for its era, although a feeder
// sends the rows. The response to any call states it.
func (f *follower) eraCheckDue(c snipeford.Collection) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return c == snipeford.OperatorRows && f.told.era > 0 && f.timer.Now() >= f.told.checkAt
}

// checkTold compares the era of the store's response to a call that was sent at sent with
// the one that a peer has told. The caller holds mu.
func (f *follower) checkTold(era snipeford.Era, sent snipeford.Instant) {
	switch told := f.told; {
	case told.era == 0:
	case era >= told.era:
		f.told = toldEra{}
	case sent > told.at:
		f.log.Info("store does not state the era that a peer told", "Told", told.era, "Stated", era)
		f.told = toldEra{refuted: told.era}
		f.readAnew(era)
	}
}
