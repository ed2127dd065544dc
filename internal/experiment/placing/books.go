package placing

import (
	"cmp"
	"slices"
	"time"

	"snipeford"
)

// books are what the simple policies know: what was sent to each engine, and
// what has ended. They place at once; no request waits.
type books struct {
	profile snipeford.EngineProfile
	engines []*account
	at      map[snipeford.RequestID]*account
	short   map[snipeford.RequestID]bool
}

// account is one engine in the books.
type account struct {
	id      snipeford.UpstreamID
	running int
	// readUntil is when all reading that was sent there should be done.
	readUntil snipeford.Instant
}

func newBooks(load Load) *books {
	b := &books{profile: load.Profile, at: map[snipeford.RequestID]*account{}, short: map[snipeford.RequestID]bool{}}
	for _, c := range Candidates(load.Engines) {
		b.engines = append(b.engines, &account{id: c.ID})
	}
	return b
}

// reading returns how long one engine reads a prompt.
func (b *books) reading(prompt snipeford.Tokens) time.Duration {
	n := float64(prompt)
	tokens := time.Duration(n / float64(b.profile.PrefillRate) * float64(time.Second))
	return tokens + time.Duration(n*n/2/1e6*float64(b.profile.AttentionTimePerMillionPairs))
}

// work returns an account's cost by the reading before a newcomer.
func work(now snipeford.Instant) func(*account) float64 {
	return func(a *account) float64 {
		return max(0, a.readUntil.Sub(now).Seconds()) + float64(a.running)*writerCost
	}
}

// writerCost is what a stream costs in seconds of reading where engines are
// compared by their work.
const writerCost = 0.005

// place sends a request to the cheapest of the engines, with the next ones as
// helpers.
func (b *books) place(now snipeford.Instant, ask snipeford.PlacementRequest, among []*account, helpers int, cost func(*account) float64) []snipeford.Placement {
	list := slices.Clone(among)
	slices.SortStableFunc(list, func(x, y *account) int { return cmp.Compare(cost(x), cost(y)) })
	list = list[:min(1+helpers, len(list))]
	part := b.reading(ask.Prompt) / time.Duration(len(list))
	p := snipeford.Placement{RequestID: ask.RequestID, Upstream: list[0].id}
	for i, a := range list {
		a.readUntil = max(a.readUntil, now).Add(part)
		if i > 0 {
			p.Helpers = append(p.Helpers, a.id)
		}
	}
	list[0].running++
	b.at[ask.RequestID], b.short[ask.RequestID] = list[0], isShort(ask)
	return []snipeford.Placement{p}
}

func isShort(ask snipeford.PlacementRequest) bool { return ask.EventGapTarget < longPause }

// longPause tells kinds with short pauses from the others.
const longPause = 400 * time.Millisecond

// shorts returns how many streams with short pauses run.
func (b *books) shorts() int {
	n := 0
	for _, one := range b.short {
		if one {
			n++
		}
	}
	return n
}

// Next places nothing: no request waits here.
func (b *books) Next(snipeford.Instant) []snipeford.Placement { return nil }

// First changes nothing.
func (b *books) First(snipeford.Instant, snipeford.RequestID, snipeford.EngineLoad) {}

// End frees the request's place.
func (b *books) End(_ snipeford.Instant, call snipeford.RequestID, _ bool, _ snipeford.UpstreamID) {
	if a := b.at[call]; a != nil {
		a.running--
	}
	delete(b.at, call)
	delete(b.short, call)
}
