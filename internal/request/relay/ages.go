package relay

import "time"

// maxAges holds the values that SetMaxAges has set.
type maxAges struct{ key, negative time.Duration }

// SetMaxAges replaces MaxKeyAge and MaxNegativeAge. It is safe for concurrent use.
func (s *Server) SetMaxAges(key, negative time.Duration) { s.maxAges.Store(&maxAges{key, negative}) }

func (s *Server) ages() maxAges {
	if a := s.maxAges.Load(); a != nil {
		return *a
	}
	return maxAges{s.MaxKeyAge, s.MaxNegativeAge}
}

// AcceptsKeys reports whether keys are accepted at a staleness of the routing.
func (s *Server) AcceptsKeys(staleness time.Duration) bool { return staleness < s.ages().key }
