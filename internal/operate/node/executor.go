package node

import (
	"context"
	"sync"
	"sync/atomic"

	"snipeford"
	"snipeford/internal/backing/vm"
	"snipeford/internal/control/mailbox"
	"snipeford/internal/control/reducer"
	"snipeford/internal/fleet/member"
	"snipeford/internal/rule/version"
	"snipeford/internal/upstream/engine"
)

// executor carries out effects. What takes time runs in goroutines of its own;
// of each periodic duty at most one runs at a time.
type executor struct {
	node    *Node
	keeper  *member.Repository
	store   *version.Store
	vms     *vm.Client
	engines *engine.Client
	entries mailbox.Set
	homes   mailbox.Set

	renewing, reading, listing, checking, fetching atomic.Bool
	polling                                        sync.Map
	events                                         sync.Map
}

// Do carries out one effect without blocking.
func (x *executor) Do(ctx context.Context, e reducer.Effect) {
	switch e := e.(type) {
	case reducer.Refuse:
		x.entries.Deliver(e.Call, e)
	case reducer.Forward:
		x.entries.Deliver(e.Call, e)
	case reducer.Dispatch:
		x.homes.Deliver(e.Call, e)
	case reducer.ReturnToEntry:
		x.homes.Deliver(e.Call, e)
	case reducer.Cancel:
		x.homes.Deliver(e.Call, e)
	case reducer.Complete:
		x.homes.Deliver(e.Call, e)
	default:
		x.doFleet(ctx, e)
	}
}

func (x *executor) doFleet(ctx context.Context, e reducer.Effect) {
	switch e := e.(type) {
	case reducer.RenewLease:
		once(&x.renewing, func() { x.renew(ctx, e) })
	case reducer.ReadMembership:
		once(&x.reading, func() { x.readRows(ctx) })
	case reducer.ClaimHome:
		go x.claim(ctx, e)
	case reducer.TransferHome:
		go x.hand(ctx, e)
	case reducer.SendHeartbeat:
		go x.heartbeat(ctx, e)
	case reducer.ReadUpstreams:
		once(&x.listing, func() { x.readUpstreams(ctx) })
	case reducer.ReadConfiguration:
		once(&x.checking, func() { x.readConfiguration(ctx, e) })
	case reducer.FetchConfiguration:
		once(&x.fetching, func() { x.fetchConfiguration(ctx, e) })
	case reducer.PublishConfiguration:
		x.adopted(e)
	default:
		x.doUpstream(ctx, e)
	}
}

func (x *executor) doUpstream(ctx context.Context, e reducer.Effect) {
	switch e := e.(type) {
	case reducer.PollLoad:
		running, _ := x.polling.LoadOrStore(e.Upstream.ID, &atomic.Bool{})
		once(running.(*atomic.Bool), func() { x.pollLoad(ctx, e.Upstream) })
	case reducer.ReleaseStaleReservations:
		go x.sweep(ctx, e)
	}
}

// once runs f in a goroutine unless the last run has not ended.
func once(running *atomic.Bool, f func()) {
	if !running.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer running.Store(false)
		f()
	}()
}

func (x *executor) renew(ctx context.Context, e reducer.RenewLease) {
	sent := x.node.timer.Now()
	err := x.keeper.Renew(ctx, e.Member)
	if err != nil {
		x.node.log.Warn("lease not renewed", "Error", err)
	}
	x.node.loop.Send(reducer.LeaseRenewalEnded{SentAt: sent, Err: err})
}

func (x *executor) readRows(ctx context.Context) {
	leases, homes, err := x.keeper.ReadMembership(ctx)
	x.node.loop.Send(reducer.MembershipRead{Leases: leases, Homes: homes, Err: err})
}

func (x *executor) claim(ctx context.Context, e reducer.ClaimHome) {
	row, won, err := x.keeper.SetHome(ctx, e.Row)
	if err != nil {
		x.node.log.Warn("home not claimed", "Group", e.Row.Group.String(), "Error", err)
		return
	}
	if won {
		x.node.log.Info("home claimed", "Group", row.Group.String(), "Fence", row.Fence)
	}
	x.node.loop.Send(reducer.HomeClaimed{Row: row, Won: won})
}

func (x *executor) hand(ctx context.Context, e reducer.TransferHome) {
	row, won, err := x.keeper.SetHome(ctx, e.Row)
	if err != nil || !won {
		x.node.log.Warn("home not handed over", "Group", e.Row.Group.String(), "Error", err)
		return
	}
	x.node.log.Info("home handed over", "Group", row.Group.String(), "To", row.Node, "Fence", row.Fence)
	x.node.loop.Send(reducer.HomeTransferred{Row: row})
}

func (x *executor) heartbeat(ctx context.Context, e reducer.SendHeartbeat) {
	if err := x.node.peers.Heartbeat(ctx, e.Peer, e.Heartbeat); err != nil {
		x.node.log.Debug("heartbeat not heard", "Peer", e.Peer.Node, "Error", err)
	}
}

func (x *executor) readUpstreams(ctx context.Context) {
	list, changed, err := x.vms.Read(ctx)
	if err != nil {
		x.node.log.Warn("VM list not read", "Error", err)
		return
	}
	if changed {
		x.node.loop.Send(reducer.UpstreamsListed{Upstreams: list})
	}
}

func (x *executor) readConfiguration(ctx context.Context, e reducer.ReadConfiguration) {
	newest, err := x.store.LatestVersion(ctx)
	if err != nil || newest <= e.CurrentVersion {
		return
	}
	c, err := x.store.Configuration(ctx, newest)
	if err != nil {
		x.node.log.Warn("configuration not read", "Version", newest, "Error", err)
		return
	}
	x.node.loop.Send(reducer.ConfigurationRead{Configuration: c})
}

func (x *executor) fetchConfiguration(ctx context.Context, e reducer.FetchConfiguration) {
	c, err := x.node.peers.Configuration(ctx, e.Peer)
	if err != nil {
		x.node.log.Warn("configuration not fetched", "Peer", e.Peer.Node, "Error", err)
		return
	}
	x.node.loop.Send(reducer.ConfigurationRead{Configuration: c})
}

// adopted puts a configuration into force for the traffic goroutines. It runs
// in the control goroutine, so that configurations come in their order.
func (x *executor) adopted(e reducer.PublishConfiguration) {
	x.node.entry.Directory.Set(e.Configuration)
	x.node.log.Info("configuration in force", "Version", e.Configuration.Version, "By", e.Configuration.ChangedBy, "What", e.Configuration.ChangeSummary)
}

func (x *executor) pollLoad(ctx context.Context, u snipeford.Upstream) {
	load, err := x.engines.Load(ctx, u)
	if err != nil {
		return
	}
	x.node.loop.Send(reducer.LoadReported{Load: load})
	if u.Kind == snipeford.KindEngine {
		x.readEvents(ctx, u, load.Incarnation)
	}
}

// cursor is how far an engine's cache events were read.
type cursor struct {
	incarnation snipeford.Incarnation
	after       uint64
}

// readEvents reads an engine's cache events, which come late and with gaps.
func (x *executor) readEvents(ctx context.Context, u snipeford.Upstream, inc snipeford.Incarnation) {
	var at cursor
	if old, ok := x.events.Load(u.ID); ok {
		at = old.(cursor)
	}
	if at.incarnation != inc {
		at = cursor{incarnation: inc}
	}
	list, err := x.engines.EvictionEvents(ctx, u, at.after)
	if err != nil {
		return
	}
	for _, e := range list {
		at.after = max(at.after, e.Sequence)
		x.node.loop.Send(reducer.CacheEvicted{Upstream: u.ID, BlockHash: e.Block})
	}
	x.events.Store(u.ID, at)
}

func (x *executor) sweep(ctx context.Context, e reducer.ReleaseStaleReservations) {
	if e.Upstream.Kind != snipeford.KindEngine {
		return
	}
	if err := x.engines.ReleaseStaleReservations(ctx, e.Upstream, e.Fence); err != nil {
		x.node.log.Debug("reservations not swept", "Upstream", e.Upstream.ID, "Error", err)
	}
}
