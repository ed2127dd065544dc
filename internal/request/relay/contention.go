package relay

import "snipeford"

// contended counts a request that competed with others and returns what the log says about
// it.
func (s *streamRequest) contended(p snipeford.Placement) []any {
	c := p.Contention
	if c == nil {
		return nil
	}
	if s.Contended != nil {
		s.Contended(s.org, p.Refused)
	}
	return []any{
		"Organisation", s.org, "Priority", s.priority, "UsageShare", c.Share, "UsageLevel", c.Level, "WaitedMs", c.Waited.Milliseconds(), "Queued", c.Queued,
		"MemoryRequested", c.MemoryRequested, "MemoryFree", c.MemoryFree,
	}
}
