package directory

import (
	"bytes"
	"cmp"
	"slices"
	"sync"

	"snipeford"
	"snipeford/internal/control/timeslice"
	"snipeford/internal/rule/plan"
)

// RoutingCost is the work to decode and index one version of the routing.
type RoutingCost struct {
	snipeford.DecodeCost
	timeslice.Cost
	// Skipped is the number of versions that arrived with it and were not decoded.
	Skipped int
}

// PreparedRouting is a value of the routing row, decoded and indexed.
type PreparedRouting struct {
	value   []byte
	version snipeford.Version
	plan    *plan.Plan
	invalid []error
	// err is why the value is no routing. The value is not decoded if skipped is set.
	err     error
	skipped bool
	cost    RoutingCost
}

// preparer decodes and indexes successive values of the routing row at the cost of what has
// changed.
type preparer struct {
	// working holds a value while a value is prepared, for as long as that pauses.
	once    sync.Once
	working chan struct{}
	decoder snipeford.RoutingDecoder
	builder plan.Builder
	// last is the value that was prepared last.
	last *PreparedRouting
}

// PrepareRouting decodes and indexes the routings of a batch of OperatorRows, so that
// ApplyPrepared takes little time. Of several versions it decodes the highest one that is
// valid. It may be called at the same time as other methods, and pauses as the slicer says,
// which may be nil.
func (s *State) PrepareRouting(b snipeford.Batch, decoder snipeford.RowDecoder, slicer *timeslice.Slicer) []*PreparedRouting {
	var out []*PreparedRouting
	for _, change := range b.Changes {
		if !change.Removed && decoder.IsRoutingKey(change.Key) {
			out = append(out, &PreparedRouting{value: change.Value})
		}
	}
	if len(out) == 0 {
		return nil
	}
	defer s.preparer.begin()()
	s.preparer.prepareAll(out, decoder, slicer)
	return out
}

// begin waits until no other value is being prepared. The returned function ends it.
func (p *preparer) begin() func() {
	p.once.Do(func() { p.working = make(chan struct{}, 1) })
	p.working <- struct{}{}
	return func() { <-p.working }
}

func (p *preparer) prepareAll(list []*PreparedRouting, decoder snipeford.RowDecoder, slicer *timeslice.Slicer) {
	if sharing, ok := decoder.(snipeford.SharingDecoder); ok && p.decoder == nil {
		p.decoder = sharing.NewRoutingDecoder()
	}
	if p.decoder == nil || len(list) == 1 {
		for _, r := range list {
			p.prepare(r, decoder, slicer)
		}
		return
	}
	// Of two with the same version, the one that was written later replaces the other.
	order := slices.Clone(list)
	slices.Reverse(order)
	for _, r := range order {
		r.version = p.decoder.Version(r.value, func() {})
	}
	slices.SortStableFunc(order, func(a, b *PreparedRouting) int { return cmp.Compare(b.version, a.version) })
	var newest *PreparedRouting
	for _, r := range order {
		if newest != nil && r.version > 0 {
			r.skipped = true
			newest.cost.Skipped++
			continue
		}
		if p.prepare(r, decoder, slicer); r.err == nil {
			newest = r
		}
	}
}

// prepare decodes and indexes a value.
func (p *preparer) prepare(r *PreparedRouting, decoder snipeford.RowDecoder, slicer *timeslice.Slicer) {
	if p.last != nil && bytes.Equal(p.last.value, r.value) {
		*r = *p.last
		return
	}
	yield := func() {}
	if slicer != nil {
		slicer.Begin()
		yield = slicer.Yield
	}
	if p.decoder != nil {
		p.prepareShared(r, yield)
	} else {
		prepareWhole(r, decoder)
	}
	if slicer != nil {
		r.cost.Cost = slicer.End()
	}
	p.last = r
}

func (p *preparer) prepareShared(r *PreparedRouting, yield func()) {
	routing, cost, err := p.decoder.Decode(r.value, yield)
	if r.cost.DecodeCost, r.err = cost, err; err != nil {
		return
	}
	r.version, r.plan = routing.Version, p.builder.Build(routing, yield)
	r.invalid = slices.Concat(routing.Invalid, r.plan.Duplicates)
}

func prepareWhole(r *PreparedRouting, decoder snipeford.RowDecoder) {
	routing, err := decoder.Routing(r.value)
	if r.err = err; err != nil {
		return
	}
	r.version, r.plan = routing.Version, plan.New(routing)
	r.invalid = slices.Concat(routing.Invalid, r.plan.Duplicates)
	r.cost.DecodeCost = snipeford.DecodeCost{RowBytes: len(r.value), DecodedBytes: len(r.value), Decoded: len(routing.Routes) + len(routing.Services) + len(routing.Access)}
}

// prepared returns the routing of a value, which is prepared here if it is not in the list.
func (s *State) prepared(value []byte, list []*PreparedRouting, decoder snipeford.RowDecoder) *PreparedRouting {
	var skipped *PreparedRouting
	for _, r := range list {
		switch {
		case !bytes.Equal(r.value, value):
		case !r.skipped:
			// A value that is there twice was prepared once.
			return r
		default:
			skipped = r
		}
	}
	if skipped != nil {
		return skipped
	}
	r := &PreparedRouting{value: value}
	defer s.preparer.begin()()
	s.preparer.prepareAll([]*PreparedRouting{r}, decoder, nil)
	return r
}

// RoutingCost returns the cost of the routing in force.
func (s *State) RoutingCost() RoutingCost { return s.cost }
