package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"snipeford"
	"snipeford/internal/emulate/relay"
	"snipeford/platform/standin"
)

// replicaFaults returns a function that chooses which fault a replica injects into a request.
func replicaFaults(rng *rand.Rand, rate float64) func() standin.Fault {
	var mu sync.Mutex
	return func() standin.Fault {
		mu.Lock()
		defer mu.Unlock()
		if rng.Float64() >= rate {
			return standin.NoFault
		}
		return standin.Fault(1 + rng.IntN(standin.FaultKinds))
	}
}

// undelimitedPercent is the share of responses with neither a length nor chunks.
const undelimitedPercent = 20

// upstreamHost serves the replicas that run at one address, one after the other.
type upstreamHost struct {
	service, domain string
	// relay carries the connections to the replica; in runs with links, these do, one a node.
	relay *relay.Relay
	links []*standin.Link

	replicas log[startedReplica]
	// pausedUntil is the end of the pause that the replica asks for.
	pausedUntil atomic.Int64
	// departing is set while the replica leaves, until another one has started.
	departing atomic.Bool
}

type startedReplica struct {
	*standin.Replica
	// row is its row while it is ready.
	row          []byte
	registration *registration
}

func (h *upstreamHost) current() startedReplica {
	replicas := h.replicas.all()
	return replicas[len(replicas)-1]
}

func (h *upstreamHost) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.current().ServeHTTP(w, r) }

func (f *fleet) startUpstream(i int) error {
	h := &upstreamHost{service: standin.ModelService, domain: failureDomain(i)}
	switch {
	case i >= f.plan.ModelReplicas+f.plan.ServiceReplicas:
		h.service = standin.SpareService
	case i >= f.plan.ModelReplicas:
		h.service = standin.PlainService
	}
	target, err := f.serve(h)
	if err != nil {
		return err
	}
	addresses, err := f.addresses(1)
	if err != nil {
		return err
	}
	if h.relay, err = relay.StartAt(addresses[0], target); err != nil {
		return err
	}
	f.closers = append(f.closers, h.relay.Close)
	if f.hasLinks() {
		if err := f.startLinks(h); err != nil {
			return err
		}
	}
	f.upstreams = append(f.upstreams, h)
	return f.startReplica(h, fmt.Sprintf("i-%d", i))
}

// hasLinks reports whether each node reaches the replicas over links of its own. In variant
// Limit, runs with even seeds have links, and those with odd ones feeders, see nodeDomain.
func (f *fleet) hasLinks() bool {
	return f.plan.Variant == CutOff || f.plan.Variant == Limit && f.plan.Seed%2 == 0
}

// relays returns the relays that carry the connections to the replica.
func (h *upstreamHost) relays() []*relay.Relay {
	if len(h.links) == 0 {
		return []*relay.Relay{h.relay}
	}
	var out []*relay.Relay
	for _, l := range h.links {
		out = append(out, l.Relay())
	}
	return out
}

// relayOf returns the relay that carries the connections of a node to the replica.
func (h *upstreamHost) relayOf(node int) *relay.Relay {
	relays := h.relays()
	return relays[node%len(relays)]
}

// startReplica starts a new replica at the host's address, and registers it.
func (f *fleet) startReplica(h *upstreamHost, id string) error {
	r := &standin.Replica{
		ID: id, Service: h.service, Domain: h.domain, Log: f.requestLog, Clock: f.clock,
		NextFault: f.nextReplicaFault, UndelimitedPercent: undelimitedPercent,
	}
	if f.plan.Variant == Share {
		r.Organisation = organisationOfRequest
	}
	if f.plan.Variant == Poison || f.plan.Variant == Request {
		r.CrashParts, r.CrashBody = f.poison.parts, f.poison.body
		// A second request that crashes the replica waits for the reset, too.
		var once sync.Once
		r.Crash = func() { once.Do(func() { f.crash(h, r) }) }
	}
	if f.plan.Variant == Limit {
		f.limitRandomly(r)
		r.PauseLeft = func() time.Duration { return snipeford.Instant(h.pausedUntil.Load()).Sub(f.clock.Now()) }
	}
	row, err := r.Row(h.relay.Address())
	if err != nil {
		return fmt.Errorf("encode row of replica: %w", err)
	}
	started := startedReplica{r, row, &registration{}}
	h.replicas.add(started)
	f.register(started, row)
	return nil
}

func (f *fleet) randomUpstream(rng *rand.Rand) *upstreamHost {
	return f.upstreams[rng.IntN(len(f.upstreams))]
}

// replace starts another replica at the address of one that is gone. A failed start leaves
// the run without it.
func (f *fleet) replace(h *upstreamHost, gone *standin.Replica) {
	_ = f.startReplica(h, fmt.Sprintf("%s-%d", gone.ID, len(h.replicas.all())))
}

// takeDown makes a replica abort all connections, and its row disappear, for a while.
func takeDown(ctx context.Context, f *fleet, rng *rand.Rand) {
	h := f.randomUpstream(rng)
	r := h.current()
	if h.departing.Load() {
		sleepRandom(ctx, rng, 300, 2000)
		return
	}
	r.Down.Store(true)
	sleepRandom(ctx, rng, 100, 800)
	if r.departed() == 0 {
		f.register(r, nil)
	}
	sleepRandom(ctx, rng, 200, 1200)
	r.Down.Store(false)
	if r.departed() == 0 {
		f.register(r, r.row)
	}
}

func (f *fleet) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	f.closers = append(f.closers, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}
