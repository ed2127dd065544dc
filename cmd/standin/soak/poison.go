package soak

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"snipeford"
	"snipeford/platform/standin"
)

const (
	// calmTime is how long after a signal or a start a node may lack what the others
	// know.
	calmTime = 3 * time.Second
	// crashLimit is the number of crashes after which a part must be known, and
	// requestCrashLimit the one after which a request must be.
	crashLimit        = 5
	requestCrashLimit = 3
	// maxLateArrivals is the maximum number of requests with the part that reach
	// replicas later than calmTime after the last crash of crashLimit.
	maxLateArrivals = 3
	// recoveryTime is the time from the last of these crashes until other requests
	// are served again.
	recoveryTime = 2 * calmTime
	// minServedShare is the minimum share of served requests after recoveryTime,
	// relative to the share before the first request with the part.
	minServedShare = 0.5
	minSample      = 20
)

// poison is a prompt part, or the body of a request, on which replicas crash.
type poison struct {
	part standin.PromptPart
	body string
	// crashLimit is the number of crashes after which it must be known.
	crashLimit int
	// begins are the times at which clients began to send it.
	begins, crashes log[snipeford.Instant]
}

func newPoison(p Plan) *poison {
	name := fmt.Sprintf("bad %d", p.Seed)
	if p.Variant == Request {
		return &poison{body: name, crashLimit: requestCrashLimit}
	}
	return &poison{part: standin.NamedPart(name, sharedTokens), crashLimit: crashLimit}
}

func (p *poison) infect(r *standin.Replica) {
	if p.body != "" {
		r.CrashBody = p.body
		return
	}
	r.CrashParts = &standin.PartSet{}
	r.CrashParts.Add(p.part)
}

// sharedTokens is the size of the prompt parts that several requests share.
const sharedTokens = 400

// sessionParts returns the prompt parts that all requests of a session share.
func sessionParts(session int) []standin.PromptPart {
	return []standin.PromptPart{standin.NamedPart(fmt.Sprint("session ", session), sharedTokens)}
}

// nextPrompt returns requests of one of the sessions. Those with the part have it
// before or after the part of their session.
func (f *fleet) nextPrompt(session int, withPoison bool) nextRequest {
	return func(rng *rand.Rand, id string) request {
		q := newRequest(rng, id, session, "once", "stream")
		q.work.Delay = time.Duration(20+rng.IntN(50)) * time.Millisecond
		if !withPoison {
			return q
		}
		q.poisoned = true
		q.parts = append(q.parts, f.poison.part)
		if rng.IntN(2) == 0 {
			q.parts[0], q.parts[1] = q.parts[1], q.parts[0]
		}
		return q
	}
}

// nextLater waits for some seconds and returns requests with the part or the body, with
// pauses.
func (f *fleet) nextLater(ctx context.Context, stream, delayMilliseconds, minPause int, next nextRequest) nextRequest {
	sleepRandom(ctx, f.random(stream), delayMilliseconds, delayMilliseconds+1000)
	f.poison.begins.add(f.clock.Now())
	return func(rng *rand.Rand, id string) request {
		sleepRandom(ctx, rng, minPause, 300)
		return next(rng, id)
	}
}

// nextPoisonPrompt returns the requests of a run with a bad part. One client in four sends
// requests with the part.
func (f *fleet) nextPoisonPrompt(ctx context.Context, number int) nextRequest {
	if number%4 != 0 {
		return f.nextPrompt(number, false)
	}
	return f.nextLater(ctx, 3, 4000, 100, f.nextPrompt(number+1, true))
}

const (
	// popularBodies is the number of bodies that sound requests share, and
	// popularPercent the share of the requests with one of them.
	popularBodies  = 10
	popularPercent = 50
	// poisonedPercent is the share of the client's requests with the bad body.
	poisonedPercent = 50
)

// nextPlainRequest returns requests to plain services. Some of them have the bad body.
func (f *fleet) nextPlainRequest(percent int) nextRequest {
	return func(rng *rand.Rand, id string) request {
		q := newRequest(rng, id, 0, "safe", "unsafe")
		switch {
		case rng.IntN(100) < percent:
			// Only one path is that of the bad request.
			q.route, q.body, q.poisoned = "safe", f.poison.body, true
		case rng.IntN(100) < popularPercent:
			q.body = fmt.Sprint("popular ", rng.IntN(popularBodies))
		}
		return q
	}
}

// nextPoisonRequest returns the requests of a run with a bad request. One client in four
// sends it.
func (f *fleet) nextPoisonRequest(ctx context.Context, number int) nextRequest {
	if number%4 != 0 {
		return f.nextPlainRequest(0)
	}
	return f.nextLater(ctx, 1000+number, 3000, 50, f.nextPlainRequest(poisonedPercent))
}

// crash makes a replica reset all its connections and refuse new ones. Its row
// disappears, and some seconds later a new replica starts at its address.
func (f *fleet) crash(h *upstreamHost, r *standin.Replica) {
	r.Down.Store(true)
	f.poison.crashes.add(f.clock.Now())
	h.takeDown()
	f.restarts.Go(func() {
		rng := f.randomOf(r)
		sleepRandom(f.context, rng, 300, 1500)
		f.store.Put("servers", r.ID, nil)
		sleepRandom(f.context, rng, 1000, 2500)
		if f.context.Err() != nil {
			return
		}
		// A failed start leaves the run without the replica.
		if h.bringUp() == nil {
			_ = f.startReplica(h, fmt.Sprintf("%s-%d", r.ID, len(h.replicas.all())))
		}
	})
}

// checkPoison checks that the nodes keep requests with the part from replicas soon
// after the part has made replicas crash, and serve other requests again.
func (f *fleet) checkPoison(r *Report) {
	p, crashes := f.poison, len(f.poison.crashes.all())
	late := p.lateArrivals(r.exchanges, f.requestLog.Get)
	before, after := p.servedBefore(r.exchanges), p.servedAfter(r.exchanges)
	r.addRemark("%d crashes, %d late bad requests, others served: %v before, %v after", crashes, late, before, after)
	if late > maxLateArrivals {
		r.addViolation("%d bad requests reached replicas later than %v after crash %d, want at most %d", late, calmTime, p.crashLimit, maxLateArrivals)
	}
	enough := before.sent >= minSample && after.sent >= minSample
	if enough && after.share() < minServedShare*before.share() {
		r.addViolation("%v of the other requests were served later than %v after crash %d, %v before", after, recoveryTime, min(p.crashLimit, crashes), before)
	}
}

// lateArrivals counts the requests with the part that reached replicas although the
// part must have been known, and whose node was calm.
func (p *poison) lateArrivals(exchanges []exchange, record func(id string) standin.Record) int {
	crashes := p.crashes.all()
	if len(crashes) < p.crashLimit {
		return 0
	}
	from := crashes[p.crashLimit-1].Add(calmTime)
	late := 0
	for _, e := range exchanges {
		for _, at := range record(e.id).Arrivals {
			if e.poisoned && at > from && e.node.isCalm(at) {
				late++
			}
		}
	}
	return late
}

type served struct{ sent, begun int }

func (s *served) add(begun bool) {
	s.sent++
	if begun {
		s.begun++
	}
}

func (s served) share() float64 { return float64(s.begun) / float64(s.sent) }

func (s served) String() string { return fmt.Sprintf("%d/%d", s.begun, s.sent) }

// servedBefore counts the requests before the first one with the part.
func (p *poison) servedBefore(exchanges []exchange) served {
	begins := p.begins.all()
	return countServed(exchanges, func(sent snipeford.Instant) bool { return len(begins) == 0 || sent < slices.Min(begins) })
}

// servedAfter counts the requests later than recoveryTime after the crash at the
// limit, or after the last one if there are fewer.
func (p *poison) servedAfter(exchanges []exchange) served {
	crashes := p.crashes.all()
	if len(crashes) == 0 {
		return served{}
	}
	from := crashes[min(p.crashLimit, len(crashes))-1].Add(recoveryTime)
	return countServed(exchanges, func(sent snipeford.Instant) bool { return sent > from })
}

// countServed counts the requests without the part that were sent to nodes that were
// calm and not stopping, and those of them whose response began.
func countServed(exchanges []exchange, include func(sent snipeford.Instant) bool) served {
	var s served
	for _, e := range exchanges {
		if !e.poisoned && include(e.sent) && e.node.isSound(e.sent) {
			s.add(e.status == http.StatusOK)
		}
	}
	return s
}

// lastDisturbance returns the node's last disturbance up to a time, or one long ago.
func (n *node) lastDisturbance(at snipeford.Instant) disturbance {
	last := disturbance{at: math.MinInt64 / 2}
	for _, d := range n.disturbed.all() {
		if d.at <= at {
			last = d
		}
	}
	return last
}

// isCalm reports whether the node was not disturbed within calmTime before a time.
func (n *node) isCalm(at snipeford.Instant) bool {
	return at.Sub(n.lastDisturbance(at).at) > calmTime
}

// isSound reports whether the node was calm and not stopping.
func (n *node) isSound(at snipeford.Instant) bool {
	return n.isCalm(at) && !n.lastDisturbance(at).stop
}
