package placement

import (
	"math"
	"time"

	"snipeford"
)

const (
	// shortPeakTime is the time constant with which the peak of the memory of short prompts
	// is forgotten. Bursts come about every ten seconds.
	shortPeakTime = 10 * time.Second
	// meanMemoryWeight is the weight of a placed request in the mean memory of requests,
	// that of about the last hundred.
	meanMemoryWeight = 0.01
	// lostMemoryTime is how long the memory of the requests of a lost node counts, unless
	// the engine reports that they are gone. Most responses take less than that.
	lostMemoryTime = 10 * time.Second
)

// memoryAccount is the memory of all placed requests.
type memoryAccount struct {
	// held is the memory that they take at their end, on all engines, and short that of
	// the short prompts.
	held, short snipeford.Tokens
	// shortPeak is the highest value of short as of shortPeakAt, decaying.
	shortPeak   float64
	shortPeakAt snipeford.Instant
	// mean is the mean memory of a request on its primary engine, and zero before the first.
	mean float64
}

// totalMemory returns the memory that a job takes on all its engines.
func (j *job) totalMemory() snipeford.Tokens {
	if j.placement.ReservedMemory > 0 {
		return j.placement.ReservedMemory * snipeford.Tokens(1+len(j.placement.Helpers))
	}
	return j.primaryMemory()
}

func (m *memoryAccount) add(now snipeford.Instant, j *job) {
	m.held += j.totalMemory()
	if m.mean == 0 {
		m.mean = float64(j.primaryMemory())
	}
	m.mean += meanMemoryWeight * (float64(j.primaryMemory()) - m.mean)
	if j.short {
		m.short += j.totalMemory()
		m.shortPeak, m.shortPeakAt = math.Max(m.peak(now), float64(m.short)), now
	}
}

func (m *memoryAccount) remove(j *job) {
	m.held -= j.totalMemory()
	if j.short {
		m.short -= j.totalMemory()
	}
}

func (m *memoryAccount) peak(now snipeford.Instant) float64 {
	return m.shortPeak * decayFactor(now.Sub(m.shortPeakAt), shortPeakTime)
}

// usableMemory returns the memory of an engine that requests may use.
func (s *State) usableMemory() snipeford.Tokens {
	return snipeford.Tokens(usableMemoryShare * float64(s.profile.Memory))
}

// takenMemory returns the memory that an engine's requests can take. Of those that are not
// tracked, which other nodes placed, only the number is known: each counts as much as a
// request on average, and all together at least as much as those of lost nodes.
func (s *State) takenMemory(now snipeford.Instant, r *replica) snipeford.Tokens {
	unknown := snipeford.Tokens(s.memory.mean) * snipeford.Tokens(r.untrackedRequests(now))
	if now < r.lostUntil {
		unknown = max(unknown, r.lostMemory)
	}
	return r.committedMemory() + unknown
}

// swapInMemory replaces the last of the chosen engines, the first helpers+1 estimates, by the
// best other one whose memory holds the whole request. It reports whether there is one.
func (s *State) swapInMemory(now snipeford.Instant, req snipeford.PlacementRequest, estimates []estimate, helpers int) bool {
	if !s.fitsOneEngine(req) {
		return false
	}
	for i := helpers + 1; i < len(estimates); i++ {
		if s.primary(now, req, estimates[i:i+1]) == 0 {
			estimates[helpers], estimates[i] = estimates[i], estimates[helpers]
			return true
		}
	}
	return false
}

// freeMemory returns the memory that is left on all engines, as far as it is known.
func (s *State) freeMemory() snipeford.Tokens {
	return s.usableMemory()*snipeford.Tokens(len(s.candidates)) - s.memory.held
}

// takesShortMemory reports whether a long prompt would take memory that short ones needed
// lately. They need it again in the next burst, and each of them only little.
func (s *State) takesShortMemory(now snipeford.Instant, req snipeford.PlacementRequest) bool {
	spare := max(0, s.memory.peak(now)-float64(s.memory.short))
	return s.memory.held > s.memory.short && float64(s.freeMemory()-req.Prompt-req.ExpectedOutput) < spare
}

// KeepMemory lets the memory of the requests of a node that is about to be forgotten count
// for a while: the node may have lost only its connection to this one.
func (s *State) KeepMemory(now snipeford.Instant, node snipeford.NodeID) {
	for _, j := range s.jobsWhere(func(j *job) bool { return j.req.EntryNode == node }) {
		s.replica(j.placement.Upstream).keepMemory(now, j.primaryMemory())
		for _, id := range j.placement.Helpers {
			s.replica(id).keepMemory(now, j.placement.ReservedMemory)
		}
	}
}

func (r *replica) keepMemory(now snipeford.Instant, tokens snipeford.Tokens) {
	if now >= r.lostUntil {
		r.lostMemory = 0
	}
	r.lostMemory += tokens
	r.lostUntil = now.Add(lostMemoryTime)
}
