package relay

import (
	"fmt"
	"slices"

	"snipeford"
	"snipeford/internal/control/directory"
	"snipeford/internal/upstream/connection"
)

// noteLeaving records an upstream whose response says that it leaves. It reports whether
// that is new to this node.
func (c *requestState) noteLeaving(u snipeford.LeavingUpstream, x *connection.Exchange) bool {
	if !x.Decoded.Directives.Leaving || c.UpstreamLeaves == nil || !c.UpstreamLeaves(u) {
		return false
	}
	c.Log.Decided("upstream leaves, as its response says", c.head.RequestID, "Upstream", u.Upstream, "Incarnation", u.Incarnation, "Status", x.Status)
	return true
}

// noteReplaced records that another upstream has responded at an upstream's address, with
// status 421. What it asks for itself says nothing about the upstream. A response that
// names another address as the one at fault is about a helper.
func (c *requestState) noteReplaced(service snipeford.ServiceName, id snipeford.UpstreamID, x *connection.Exchange) {
	upstream, ok := c.findUpstream(service, id)
	atFault := x.Decoded.FaultAddress == "" || x.Decoded.FaultAddress == upstream.Address
	u := snipeford.LeavingUpstream{Upstream: id, Incarnation: upstream.Incarnation}
	if !ok || !atFault || c.UpstreamReplaced == nil || !c.UpstreamReplaced(u) {
		return
	}
	c.Log.Decided("another upstream responds at the address", c.head.RequestID, "Upstream", id, "Incarnation", u.Incarnation)
	c.Placer.ReportDirectives(snipeford.DirectivesReport{
		Service: service, Upstream: id, Incarnation: u.Incarnation,
		Directives: snipeford.Directives{Leaving: true, RequestLimit: snipeford.RequestLimit{Unreadable: true}},
	})
}

// leavingUpstream returns the name of a chosen upstream and of its incarnation.
func (c *requestState) leavingUpstream(service snipeford.ServiceName, id snipeford.UpstreamID) snipeford.LeavingUpstream {
	u, _ := c.findUpstream(service, id)
	return snipeford.LeavingUpstream{Upstream: id, Incarnation: u.Incarnation}
}

// requireUsable returns a check that fails once one of the chosen upstreams takes no more
// requests, or none for now: it may have left or asked for a pause while memory was
// reserved or the connection was opened.
func (c *requestState) requireUsable(service snipeford.ServiceName, engines ...directory.Upstream) func() error {
	return func() error {
		if gone := unusable(c.View(), service, engines); len(gone) > 0 {
			return fmt.Errorf("%w: %s", errUnknownUpstream, gone[0])
		}
		for _, u := range engines {
			if c.trialTaken != u.ID && c.paused(u.ID) {
				c.divert(u.ID)
				return fmt.Errorf("%w: %s", errPaused, u.ID)
			}
		}
		return nil
	}
}

// excludeUnusable excludes the chosen upstreams that take no more requests.
func (s *streamRequest) excludeUnusable(engines []directory.Upstream) {
	s.excluded = append(s.excluded, unusable(s.View(), s.service, engines)...)
}

func unusable(v *directory.View, service snipeford.ServiceName, engines []directory.Upstream) []snipeford.UpstreamID {
	var out []snipeford.UpstreamID
	for _, u := range engines {
		if _, ok := usable(v, service, u.ID); !ok {
			out = append(out, u.ID)
		}
	}
	return out
}

func usable(v *directory.View, service snipeford.ServiceName, id snipeford.UpstreamID) (directory.Upstream, bool) {
	list := v.Usable[service]
	i := slices.IndexFunc(list, func(u directory.Upstream) bool { return u.ID == id })
	if i < 0 {
		return directory.Upstream{}, false
	}
	return list[i], true
}
