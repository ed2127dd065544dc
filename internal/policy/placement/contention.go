package placement

import (
	"time"

	"snipeford"
)

// contention returns why a queued or refused request was placed or refused now.
func (s *State) contention(req snipeford.PlacementRequest, waited time.Duration) *snipeford.Contention {
	return &snipeford.Contention{
		Share: s.usage.share(req.Organisation), Level: s.usage.level(req.Organisation), Waited: waited, Queued: len(s.queued),
		MemoryRequested: req.Prompt + req.ExpectedOutput, MemoryFree: s.freeMemory(),
	}
}

// share returns the part of an organisation in the usage of all.
func (u *usage) share(org snipeford.Organisation) float64 {
	if o, ok := u.organisations[org]; ok && u.sum > 0 {
		return o.all / u.sum
	}
	return 0
}
