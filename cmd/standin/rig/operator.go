package rig

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"snipeford"
	"snipeford/internal/control/reducer"
	"snipeford/internal/emulate/engine"
	"snipeford/internal/emulate/service"
	"snipeford/internal/emulate/table"
	"snipeford/internal/experiment/load"
	"snipeford/internal/fleet/message"
	"snipeford/internal/operate/administration"
)

// API returns the i-th node's administration API.
func (r *Rig) API(i int) message.Administration {
	client := administration.Keyed{Client: &http.Client{Timeout: 15 * time.Second}, Header: administration.KeyHeader, Key: OperatorKey}
	return message.NewAdministrationProtobufClient("http://"+r.Targets[i].OperatorAddress, client)
}

// Status returns the i-th node's own view.
func (r *Rig) Status(ctx context.Context, i int) (reducer.Status, error) {
	var s reducer.Status
	reply, err := r.API(i).Status(ctx, &message.StatusRequest{})
	if err != nil {
		return s, fmt.Errorf("status of node %d: %w", i+1, err)
	}
	if err := json.Unmarshal(reply.GetStatus(), &s); err != nil {
		return s, fmt.Errorf("decode status: %w", err)
	}
	return s, nil
}

// Apply puts rules into force through the first node that takes them.
func (r *Rig) Apply(ctx context.Context, rules []byte, by string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		_, err := r.API(0).Apply(ctx, &message.ApplyRequest{RulesToml: string(rules), By: by, Wait: true})
		if err == nil {
			return nil
		}
		if !r.Timer.Sleep(ctx, 200*time.Millisecond) {
			return fmt.Errorf("apply rules: %w", err)
		}
	}
}

// errNotYet is what a condition returns that may still come true.
var errNotYet = errors.New("not yet")

// Await asks until the condition returns nil or the time has passed.
func (r *Rig) Await(ctx context.Context, limit time.Duration, condition func() error) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		err := condition()
		if err == nil {
			return nil
		}
		if !r.Timer.Sleep(ctx, 50*time.Millisecond) {
			return err
		}
	}
}

// AwaitHomes waits until the running nodes hold all groups of the upstreams,
// and each node hears of each home.
func (r *Rig) AwaitHomes(ctx context.Context, limit time.Duration, nodes ...int) error {
	groups := map[snipeford.Group]bool{}
	for _, u := range r.Upstreams {
		g := u.Group()
		if u.Kind == snipeford.KindService {
			g.Model = snipeford.ServiceModel(u.Service)
		}
		groups[g] = true
	}
	return r.Await(ctx, limit, func() error {
		held := map[snipeford.Group]bool{}
		for _, i := range nodes {
			s, err := r.Status(ctx, i)
			if err != nil {
				return err
			}
			for _, g := range s.Groups {
				held[g.Group] = true
			}
		}
		if len(held) < len(groups) {
			return fmt.Errorf("%d of %d groups have a home: %w", len(held), len(groups), errNotYet)
		}
		return nil
	})
}

// AllNodes returns the numbers of all nodes.
func (r *Rig) AllNodes() []int {
	out := make([]int, r.Plan.Nodes)
	for i := range out {
		out[i] = i
	}
	return out
}

// Client returns a caller of the rig and the balancer that it goes through.
func (r *Rig) Client(prefix string) (*load.Client, *load.Balancer) {
	b := &load.Balancer{Targets: r.Targets, Timer: r.Timer}
	transport := &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
	return &load.Client{
		HTTP: &http.Client{Transport: transport}, Timer: r.Timer, Pick: b.Pick,
		Model: r.Plan.Model, Service: r.Plan.Service, OrderPath: "/dispatch", LookupPath: "/stock",
		KeyOf:                func(o snipeford.Organisation) string { return "example-key-" + string(o) },
		IdempotencyKeyPrefix: prefix,
	}, b
}

// Engines returns the state of each engine that answers.
func (r *Rig) Engines(ctx context.Context) map[snipeford.UpstreamID]engine.State {
	out := map[snipeford.UpstreamID]engine.State{}
	for _, u := range r.Upstreams {
		var s engine.State
		if u.Kind == snipeford.KindEngine && r.Read(ctx, u.Address, "/control/state", &s) == nil {
			out[u.ID] = s
		}
	}
	return out
}

// Ledger returns how often each order ran, by its idempotency key.
func (r *Rig) Ledger(ctx context.Context) (map[string]int, error) {
	out := map[string]int{}
	for _, u := range r.Upstreams {
		if u.Kind != snipeford.KindService {
			continue
		}
		var s service.State
		if err := r.Read(ctx, u.Address, "/control/state", &s); err != nil {
			return nil, err
		}
		for _, e := range s.Ledger {
			out[e.Key]++
		}
	}
	return out, nil
}

// TableCounts returns what the table was asked so far.
func (r *Rig) TableCounts(ctx context.Context) (table.Counts, error) {
	var c table.Counts
	err := r.Read(ctx, r.TableAt, "/control/counts", &c)
	return c, err
}
