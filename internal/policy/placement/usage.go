package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"snipeford"
)

const (
	// usageTime is the time constant with which the usage of organisations is forgotten.
	// Bursts of callers last about ten seconds.
	usageTime = 10 * time.Second
	// usageRebase is the number of time constants after which the values of a usage are
	// scaled anew. Their exponents stay far below the limit of a float64.
	usageRebase = 30
	// forgottenUsage is the usage, in tokens, below which an organisation counts as idle:
	// less than a fifth of a short prompt.
	forgottenUsage = 1_000
	// pruneInterval is how often idle organisations are forgotten. It bounds the work.
	pruneInterval = time.Second
	// heavyUsageFactor is the usage of an organisation, relative to the mean of those that
	// are not idle, above which its queued requests go after those of others. Smaller
	// differences are chance: a few prompts are longer than others.
	heavyUsageFactor = 1.25
	// maxReportedUsage limits the organisations whose usage is reported to a new home. The
	// heaviest decide the order, and a list has to fit into one frame.
	maxReportedUsage = 64
)

// OrganisationUsage is the decayed usage of an organisation, in tokens.
type OrganisationUsage struct {
	Organisation snipeford.Organisation
	Tokens       float64
}

// usage is what organisations used lately: the tokens of their prompts and planned
// outputs, decaying exponentially. Values are stored multiplied by the decay since base,
// so that none has to be updated as time passes.
type usage struct {
	base          snipeford.Instant
	organisations map[snipeford.Organisation]*organisationUsage
	sum           float64
	prunedAt      snipeford.Instant
}

// organisationUsage is the usage of one organisation, in all and by entry node. A node
// that reports its part again thereby adds nothing.
type organisationUsage struct {
	all    float64
	byNode map[snipeford.NodeID]float64
}

// scale returns by what a value at an instant is multiplied to be stored.
func (u *usage) scale(at snipeford.Instant) float64 {
	return math.Exp(float64(at.Sub(u.base)) / float64(usageTime))
}

func (u *usage) rebase(now snipeford.Instant) {
	if now.Sub(u.base) < usageRebase*usageTime {
		return
	}
	factor := 1 / u.scale(now)
	u.base = now
	u.sum *= factor
	for _, o := range u.organisations {
		o.all *= factor
		for node := range o.byNode {
			o.byNode[node] *= factor
		}
	}
}

// add adds a stored value, which may be negative.
func (u *usage) add(org snipeford.Organisation, node snipeford.NodeID, stored float64) {
	o := u.of(org)
	stored = max(stored, -o.byNode[node])
	o.byNode[node] += stored
	o.all += stored
	u.sum += stored
}

// of returns the usage of an organisation. One that asks without any usage counts in the
// mean.
func (u *usage) of(org snipeford.Organisation) *organisationUsage {
	o, ok := u.organisations[org]
	if !ok {
		o = &organisationUsage{byNode: map[snipeford.NodeID]float64{}}
		if u.organisations == nil {
			u.organisations = map[snipeford.Organisation]*organisationUsage{}
		}
		u.organisations[org] = o
	}
	return o
}

// charge adds the tokens of a job, as of its start.
func (u *usage) charge(now snipeford.Instant, j *job) {
	u.rebase(now)
	j.charged = float64(j.req.Prompt+j.req.ExpectedOutput) * u.scale(j.start)
	j.chargedBase = u.base
	u.add(j.req.Organisation, j.req.EntryNode, j.charged)
}

// refund takes back the charge of a job that is about to be recorded again.
func (u *usage) refund(j *job) {
	if j.charged > 0 && j.chargedBase == u.base {
		u.add(j.req.Organisation, j.req.EntryNode, -j.charged)
	}
	j.charged = 0
}

// prune forgets idle organisations.
func (u *usage) prune(now snipeford.Instant) {
	if now.Sub(u.prunedAt) < pruneInterval {
		return
	}
	u.prunedAt = now
	u.rebase(now)
	limit := forgottenUsage * u.scale(now)
	for org, o := range u.organisations {
		if o.all < limit {
			u.sum = max(0, u.sum-o.all)
			delete(u.organisations, org)
		}
	}
}

// relative returns the usage of an organisation relative to the mean of those that are
// not idle.
func (u *usage) relative(org snipeford.Organisation) float64 {
	o := u.of(org)
	if u.sum <= 0 {
		return 0
	}
	return o.all * float64(len(u.organisations)) / u.sum
}

// level returns how heavy an organisation is: 0 up to heavyUsageFactor times the mean
// usage, and one more for each doubling.
func (u *usage) level(org snipeford.Organisation) int {
	relative := u.relative(org)
	if relative <= heavyUsageFactor {
		return 0
	}
	return 1 + int(math.Log2(relative/heavyUsageFactor))
}

// Usage returns what organisations used lately by requests of an entry node, the heaviest
// first, to report it to a new home of the service.
func (s *State) Usage(now snipeford.Instant, node snipeford.NodeID) []OrganisationUsage {
	var out []OrganisationUsage
	scale := s.usage.scale(now)
	for org, o := range s.usage.organisations {
		if tokens := o.byNode[node] / scale; tokens >= forgottenUsage {
			out = append(out, OrganisationUsage{org, math.Round(tokens)})
		}
	}
	slices.SortFunc(out, func(a, b OrganisationUsage) int {
		return cmp.Or(cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(a.Organisation, b.Organisation))
	})
	return out[:min(len(out), maxReportedUsage)]
}

// MergeUsage adds what organisations used by requests of an entry node, as far as it is
// not known here.
func (s *State) MergeUsage(now snipeford.Instant, node snipeford.NodeID, list []OrganisationUsage) {
	s.usage.rebase(now)
	scale := s.usage.scale(now)
	for _, reported := range list[:min(len(list), maxReportedUsage)] {
		known := 0.0
		if o, ok := s.usage.organisations[reported.Organisation]; ok {
			known = o.byNode[node]
		}
		if more := reported.Tokens*scale - known; more > 0 {
			s.usage.add(reported.Organisation, node, more)
		}
	}
	for _, j := range s.jobs {
		j.level = s.usage.level(j.req.Organisation)
	}
}
