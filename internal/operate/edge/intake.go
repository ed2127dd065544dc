package edge

import (
	"context"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"snipeford"
	"snipeford/internal/operate/settings"
	"snipeford/internal/request/intake"
	"snipeford/internal/request/relay"
)

// GCPercent is by how many percent the heap may grow between two garbage collections. It is
// half of Go's default because a node has a budget of 64 MB.
const GCPercent = 50

const (
	// bytesPerMegabyte converts the setting MemoryMegabytes. The smaller of the two usual
	// units is the safe one.
	bytesPerMegabyte = 1_000_000
	// memoryLimitShare is the part of the VM's memory up to which the Go runtime collects
	// garbage at its usual pace. The rest is for the program's text and the kernel. The
	// budget of package intake and a node's usual heap end below it.
	memoryLimitShare = 0.8
)

// MemoryLimit returns the soft limit of the Go runtime, in bytes, for the setting
// MemoryMegabytes.
func MemoryLimit(megabytes float64) int64 {
	return int64(memoryLimitShare * megabytes * bytesPerMegabyte)
}

// Parts of the descriptors of the process, one in so many. The remaining quarter is for
// upstreams that are idle, the store and other nodes that this one connects to.
const (
	callerDescriptors = 2
	peerDescriptors   = 4
	// probeDescriptors are those of the ready and of the metrics listener, one in so many
	// each. The load balancer and the operators probe once a second.
	probeDescriptors = 32
)

// bound returns a listener whose connections are bounded, by a part of the descriptors.
func (n *Node) bound(listener net.Listener, part int) *intake.Listener {
	if n.budget.Timer == nil {
		n.budget.Timer = n.timer
	}
	return &intake.Listener{Listener: listener, Budget: &n.budget, Limits: n.callerLimits, MaxDescriptors: intake.DescriptorLimit() / part}
}

// boundPeers returns a listener for other nodes.
func (n *Node) boundPeers(listener net.Listener) net.Listener {
	l := n.bound(listener, peerDescriptors)
	l.Raw, l.Essential = true, true
	return l
}

// serveProbes serves the probes of the load balancer or of operators.
func (n *Node) serveProbes(ctx context.Context, group *errgroup.Group, listener net.Listener, handler http.Handler) {
	l := n.bound(listener, probeDescriptors)
	l.Essential = true
	server := l.Server(newServer(handler))
	server.ReadTimeout = readHeaderTimeout
	serve(ctx, group, l, server)
}

// CallerCapacity returns the number of bytes of callers that a node with the settings holds.
func CallerCapacity(s settings.Edge) int64 {
	return intake.CapacityFor(int64(s.MemoryMegabytes*bytesPerMegabyte), GCPercent)
}

// EnforcedLimits returns the limits that nodes enforce for those of a configuration.
func EnforcedLimits(l snipeford.CallerLimits) snipeford.CallerLimits {
	heads := intake.LimitsFor(l)
	return snipeford.CallerLimits{HeaderBytes: heads.HeaderBytes, BodyBytes: relay.BodyLimit(l), HeaderTimeout: heads.HeaderTime, IdleTimeout: heads.IdleTime}
}

// callerLimits returns the limits of the configuration in force.
func (n *Node) callerLimits() intake.Limits {
	if n.follower == nil {
		return intake.LimitsFor(snipeford.CallerLimits{})
	}
	v := n.follower.current()
	if v.Plan == nil {
		return intake.LimitsFor(snipeford.CallerLimits{})
	}
	return intake.LimitsFor(v.Plan.Limits)
}

// refusalReportInterval is how often refusals are logged. A line for each would fill the log.
const refusalReportInterval = 5 * time.Second

// reportRefusals logs the number of callers that were refused.
func (n *Node) reportRefusals(ctx context.Context) error {
	ticks := n.timer.Every(ctx, refusalReportInterval)
	for reported := int64(0); ; {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
		}
		if total := n.budget.Refusals(); total > reported {
			n.log.Info("callers refused outside the limits", "Count", total-reported, "BytesHeld", n.budget.Used(), "BytesCapacity", n.budget.Capacity)
			reported = total
		}
	}
}
