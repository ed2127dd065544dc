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

// AdministrationClient returns a client of the administration AdministrationClient of the node with index i.
func (r *Rig) AdministrationClient(i int) message.Administration {
	client := administration.AuthenticatedClient{Client: &http.Client{Timeout: 15 * time.Second}, Header: administration.KeyHeader, Key: OperatorKey}
	return message.NewAdministrationProtobufClient("http://"+r.Targets[i].OperatorAddress, client)
}

// Status returns the status that the node with index i reports.
func (r *Rig) Status(ctx context.Context, i int) (reducer.Status, error) {
	var s reducer.Status
	reply, err := r.AdministrationClient(i).Status(ctx, &message.StatusRequest{})
	if err != nil {
		return s, fmt.Errorf("read status of node %d: %w", i+1, err)
	}
	if err := json.Unmarshal(reply.GetStatus(), &s); err != nil {
		return s, fmt.Errorf("decode status: %w", err)
	}
	return s, nil
}

// Apply applies rules through the first node and waits until they are in force.
// It retries errors until startTimeout has passed.
func (r *Rig) Apply(ctx context.Context, rules []byte, by string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		_, err := r.AdministrationClient(0).Apply(ctx, &message.ApplyRequest{RulesToml: string(rules), By: by, Wait: true})
		if err == nil {
			return nil
		}
		if !r.Timer.Sleep(ctx, 200*time.Millisecond) {
			return fmt.Errorf("apply rules: %w", err)
		}
	}
}

// errNotReady is the error of a condition of Await that is not met yet. Await
// retries after this and any other error.
var errNotReady = errors.New("not ready yet")

// Await polls a condition until it returns nil or the timeout has passed, and
// then returns its last error.
func (r *Rig) Await(ctx context.Context, timeout time.Duration, condition func() error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
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

// AwaitHomes waits until each group of upstreams has a home among the given
// nodes, all of which must be running.
func (r *Rig) AwaitHomes(ctx context.Context, timeout time.Duration, nodes ...int) error {
	groups := map[snipeford.Group]bool{}
	for _, u := range r.Upstreams {
		g := u.Group()
		if u.Kind == snipeford.KindService {
			g.Model = snipeford.ServiceModel(u.Service)
		}
		groups[g] = true
	}
	return r.Await(ctx, timeout, func() error {
		homed := map[snipeford.Group]bool{}
		for _, i := range nodes {
			s, err := r.Status(ctx, i)
			if err != nil {
				return err
			}
			for _, g := range s.Groups {
				homed[g.Group] = true
			}
		}
		if len(homed) < len(groups) {
			return fmt.Errorf("%d of %d groups have a home: %w", len(homed), len(groups), errNotReady)
		}
		return nil
	})
}

// NodeIndexes returns the indexes of all nodes, starting at zero.
func (r *Rig) NodeIndexes() []int {
	out := make([]int, r.Plan.Nodes)
	for i := range out {
		out[i] = i
	}
	return out
}

// NewClient returns a client of the rig's nodes and the load balancer that
// selects a node for each request. The prefix makes idempotency keys unique.
func (r *Rig) NewClient(prefix string) (*load.Client, *load.Balancer) {
	b := &load.Balancer{Targets: r.Targets, Timer: r.Timer}
	transport := &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
	return &load.Client{
		HTTP: &http.Client{Transport: transport}, Timer: r.Timer, Pick: b.Pick,
		Model: r.Plan.Model, Service: r.Plan.Service, OrderPath: "/dispatch", LookupPath: "/stock",
		KeyOf:                func(o snipeford.Organisation) string { return "example-key-" + string(o) },
		IdempotencyKeyPrefix: prefix,
	}, b
}

// EngineStates returns the state of each engine that responds.
func (r *Rig) EngineStates(ctx context.Context) map[snipeford.UpstreamID]engine.State {
	out := map[snipeford.UpstreamID]engine.State{}
	for _, u := range r.Upstreams {
		var s engine.State
		if u.Kind == snipeford.KindEngine && r.ReadState(ctx, u.Address, "/control/state", &s) == nil {
			out[u.ID] = s
		}
	}
	return out
}

// OrderRuns returns how many times each order ran, by idempotency key.
func (r *Rig) OrderRuns(ctx context.Context) (map[string]int, error) {
	out := map[string]int{}
	for _, u := range r.Upstreams {
		if u.Kind != snipeford.KindService {
			continue
		}
		var s service.State
		if err := r.ReadState(ctx, u.Address, "/control/state", &s); err != nil {
			return nil, err
		}
		for _, e := range s.RecordedOrders {
			out[e.Key]++
		}
	}
	return out, nil
}

// TableCounts returns the numbers of reads and writes of the table so far.
func (r *Rig) TableCounts(ctx context.Context) (table.Counts, error) {
	var c table.Counts
	err := r.ReadState(ctx, r.TableAddress, "/control/counts", &c)
	return c, err
}
