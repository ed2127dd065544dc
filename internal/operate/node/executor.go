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

// executor carries out the effects of the control loop. Effects that do I/O run in
// their own goroutines; of each periodic effect at most one runs at a time.
type executor struct {
	node           *Node
	members        *member.Repository
	versions       *version.Store
	vms            *vm.Client
	engines        *engine.Client
	entryMailboxes mailbox.Set
	homeMailboxes  mailbox.Set

	renewingLease, readingMembership, readingUpstreams, readingConfiguration, fetchingConfiguration atomic.Bool
	pollingLoad                                                                                     sync.Map
	eventCursors                                                                                    sync.Map
}

// Do carries out an effect without blocking.
func (x *executor) Do(ctx context.Context, e reducer.Effect) {
	switch e := e.(type) {
	case reducer.Refuse:
		x.entryMailboxes.Deliver(e.Call, e)
	case reducer.Forward:
		x.entryMailboxes.Deliver(e.Call, e)
	case reducer.Dispatch:
		x.homeMailboxes.Deliver(e.Call, e)
	case reducer.ReturnToEntry:
		x.homeMailboxes.Deliver(e.Call, e)
	case reducer.Cancel:
		x.homeMailboxes.Deliver(e.Call, e)
	case reducer.Complete:
		x.homeMailboxes.Deliver(e.Call, e)
	default:
		x.doFleet(ctx, e)
	}
}

func (x *executor) doFleet(ctx context.Context, e reducer.Effect) {
	switch e := e.(type) {
	case reducer.RenewLease:
		goUnlessRunning(&x.renewingLease, func() { x.renewLease(ctx, e) })
	case reducer.ReadMembership:
		goUnlessRunning(&x.readingMembership, func() { x.readMembership(ctx) })
	case reducer.ClaimHome:
		go x.claimHome(ctx, e)
	case reducer.TransferHome:
		go x.transferHome(ctx, e)
	case reducer.SendHeartbeat:
		go x.sendHeartbeat(ctx, e)
	case reducer.ReadUpstreams:
		goUnlessRunning(&x.readingUpstreams, func() { x.readUpstreams(ctx) })
	case reducer.ReadConfiguration:
		goUnlessRunning(&x.readingConfiguration, func() { x.readConfiguration(ctx, e) })
	case reducer.FetchConfiguration:
		goUnlessRunning(&x.fetchingConfiguration, func() { x.fetchConfiguration(ctx, e) })
	case reducer.PublishConfiguration:
		x.publishConfiguration(e)
	default:
		x.doUpstream(ctx, e)
	}
}

func (x *executor) doUpstream(ctx context.Context, e reducer.Effect) {
	switch e := e.(type) {
	case reducer.PollLoad:
		running, _ := x.pollingLoad.LoadOrStore(e.Upstream.ID, &atomic.Bool{})
		goUnlessRunning(running.(*atomic.Bool), func() { x.pollLoad(ctx, e.Upstream) })
	case reducer.ReleaseStaleReservations:
		go x.releaseStaleReservations(ctx, e)
	}
}

// goUnlessRunning runs f in a goroutine unless the previous run has not ended.
func goUnlessRunning(running *atomic.Bool, f func()) {
	if !running.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer running.Store(false)
		f()
	}()
}

func (x *executor) renewLease(ctx context.Context, e reducer.RenewLease) {
	sent := x.node.timer.Now()
	err := x.members.Renew(ctx, e.Member)
	if err != nil {
		x.node.log.Warn("cannot renew lease", "Error", err)
	}
	x.node.loop.Send(reducer.LeaseRenewalEnded{SentAt: sent, Err: err})
}

func (x *executor) readMembership(ctx context.Context) {
	leases, homes, err := x.members.ReadMembership(ctx)
	x.node.loop.Send(reducer.MembershipRead{Leases: leases, Homes: homes, Err: err})
}

func (x *executor) claimHome(ctx context.Context, e reducer.ClaimHome) {
	row, won, err := x.members.SetHome(ctx, e.Row)
	if err != nil {
		x.node.log.Warn("cannot claim home", "Group", e.Row.Group.String(), "Error", err)
		return
	}
	if won {
		x.node.log.Info("home claimed", "Group", row.Group.String(), "Fence", row.Fence)
	}
	x.node.loop.Send(reducer.HomeClaimed{Row: row, Won: won})
}

func (x *executor) transferHome(ctx context.Context, e reducer.TransferHome) {
	row, won, err := x.members.SetHome(ctx, e.Row)
	if err != nil || !won {
		x.node.log.Warn("home not transferred", "Group", e.Row.Group.String(), "Error", err)
		return
	}
	x.node.log.Info("home transferred", "Group", row.Group.String(), "To", row.Node, "Fence", row.Fence)
	x.node.loop.Send(reducer.HomeTransferred{Row: row})
}

func (x *executor) sendHeartbeat(ctx context.Context, e reducer.SendHeartbeat) {
	if err := x.node.peerClient.Heartbeat(ctx, e.Peer, e.Heartbeat); err != nil {
		x.node.log.Debug("cannot send heartbeat", "Peer", e.Peer.Node, "Error", err)
	}
}

func (x *executor) readUpstreams(ctx context.Context) {
	list, changed, err := x.vms.Read(ctx)
	if err != nil {
		x.node.log.Warn("cannot read VM list", "Error", err)
		return
	}
	if changed {
		x.node.loop.Send(reducer.UpstreamsListed{Upstreams: list})
	}
}

func (x *executor) readConfiguration(ctx context.Context, e reducer.ReadConfiguration) {
	newest, err := x.versions.LatestVersion(ctx)
	if err != nil || newest <= e.CurrentVersion {
		return
	}
	c, err := x.versions.Configuration(ctx, newest)
	if err != nil {
		x.node.log.Warn("cannot read configuration", "Version", newest, "Error", err)
		return
	}
	x.node.loop.Send(reducer.ConfigurationRead{Configuration: c})
}

func (x *executor) fetchConfiguration(ctx context.Context, e reducer.FetchConfiguration) {
	c, err := x.node.peerClient.Configuration(ctx, e.Peer)
	if err != nil {
		x.node.log.Warn("cannot fetch configuration from peer", "Peer", e.Peer.Node, "Error", err)
		return
	}
	x.node.loop.Send(reducer.ConfigurationRead{Configuration: c})
}

// publishConfiguration puts a configuration into force for the traffic goroutines.
// It runs in the control goroutine, so that configurations are applied in order.
func (x *executor) publishConfiguration(e reducer.PublishConfiguration) {
	x.node.entry.Configuration.Set(e.Configuration)
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

// eventCursor is the position up to which an engine's cache events were read.
type eventCursor struct {
	incarnation snipeford.Incarnation
	sequence    uint64
}

// readEvents reads the new cache events of an engine. Events may arrive late and
// have gaps.
func (x *executor) readEvents(ctx context.Context, u snipeford.Upstream, inc snipeford.Incarnation) {
	var cursor eventCursor
	if old, ok := x.eventCursors.Load(u.ID); ok {
		cursor = old.(eventCursor)
	}
	if cursor.incarnation != inc {
		cursor = eventCursor{incarnation: inc}
	}
	list, err := x.engines.EvictionEvents(ctx, u, cursor.sequence)
	if err != nil {
		return
	}
	for _, e := range list {
		cursor.sequence = max(cursor.sequence, e.Sequence)
		x.node.loop.Send(reducer.CacheEvicted{Upstream: u.ID, BlockHash: e.Block})
	}
	x.eventCursors.Store(u.ID, cursor)
}

func (x *executor) releaseStaleReservations(ctx context.Context, e reducer.ReleaseStaleReservations) {
	if e.Upstream.Kind != snipeford.KindEngine {
		return
	}
	if err := x.engines.ReleaseStaleReservations(ctx, e.Upstream, e.Fence); err != nil {
		x.node.log.Debug("cannot release stale reservations", "Upstream", e.Upstream.ID, "Error", err)
	}
}
