package peer

import (
	"snipeford"
	"snipeford/internal/fleet/message"
)

func memberMessage(m snipeford.Member) *message.Member {
	return &message.Member{
		Node:        string(m.Node),
		Incarnation: string(m.Incarnation),
		Domain:      string(m.Domain),
		PeerAddress: m.PeerAddress,
		Leaving:     m.Leaving,
	}
}

func memberOf(m *message.Member) snipeford.Member {
	return snipeford.Member{
		Node:        snipeford.NodeID(m.GetNode()),
		Incarnation: snipeford.Incarnation(m.GetIncarnation()),
		Domain:      snipeford.FailureDomain(m.GetDomain()),
		PeerAddress: m.GetPeerAddress(),
		Leaving:     m.GetLeaving(),
	}
}

func heartbeatMessage(b snipeford.Heartbeat) *message.HeartbeatRequest {
	out := &message.HeartbeatRequest{
		Member:               memberMessage(b.Member),
		ConfigurationVersion: uint64(b.Configuration),
		TableUp:              b.TableUp,
	}
	for _, g := range b.Groups {
		out.Groups = append(out.Groups, &message.GroupSummary{
			Model:           string(g.Group.Model),
			Domain:          string(g.Group.Domain),
			Fence:           uint64(g.Fence),
			Usable:          int32(g.Usable),
			Warm:            int32(g.Warm),
			Free:            int32(g.Free),
			MemoryTokens:    int64(g.Memory),
			LargestTokens:   int64(g.Largest),
			TokensPerSecond: float64(g.Rate),
			BacklogTokens:   int64(g.Backlog),
			ShortCostTokens: int64(g.ShortCost),
		})
	}
	for _, w := range b.Wants {
		out.Wants = append(out.Wants, &message.ShareWant{Organisation: string(w.Organisation), WantedTokens: int64(w.Wanted), InForce: w.InForce})
	}
	for _, g := range b.Grants {
		out.Grants = append(out.Grants, &message.ShareGrant{Organisation: string(g.Organisation), Share: g.Share})
	}
	for _, h := range b.Handed {
		out.Handed = append(out.Handed, &message.HandedHome{
			Model:       string(h.Group.Model),
			Domain:      string(h.Group.Domain),
			Node:        string(h.Node),
			Incarnation: string(h.Incarnation),
			Fence:       uint64(h.Fence),
			RowVersion:  h.RowVersion,
		})
	}
	return out
}

func heartbeatOf(m *message.HeartbeatRequest) snipeford.Heartbeat {
	out := snipeford.Heartbeat{
		Member:        memberOf(m.GetMember()),
		Configuration: snipeford.Version(m.GetConfigurationVersion()),
		TableUp:       m.GetTableUp(),
	}
	for _, g := range m.GetGroups() {
		out.Groups = append(out.Groups, snipeford.GroupSummary{
			Group:     snipeford.Group{Model: snipeford.Model(g.GetModel()), Domain: snipeford.FailureDomain(g.GetDomain())},
			Fence:     snipeford.Fence(g.GetFence()),
			Usable:    int(g.GetUsable()),
			Warm:      int(g.GetWarm()),
			Free:      int(g.GetFree()),
			Memory:    snipeford.Tokens(g.GetMemoryTokens()),
			Largest:   snipeford.Tokens(g.GetLargestTokens()),
			Rate:      snipeford.TokensPerSecond(g.GetTokensPerSecond()),
			Backlog:   snipeford.Tokens(g.GetBacklogTokens()),
			ShortCost: snipeford.Tokens(g.GetShortCostTokens()),
		})
	}
	for _, w := range m.GetWants() {
		out.Wants = append(out.Wants, snipeford.ShareWant{Organisation: snipeford.Organisation(w.GetOrganisation()), Wanted: snipeford.Tokens(w.GetWantedTokens()), InForce: w.GetInForce()})
	}
	for _, g := range m.GetGrants() {
		out.Grants = append(out.Grants, snipeford.ShareGrant{Organisation: snipeford.Organisation(g.GetOrganisation()), Share: g.GetShare()})
	}
	for _, h := range m.GetHanded() {
		out.Handed = append(out.Handed, snipeford.HomeRow{
			Group:       snipeford.Group{Model: snipeford.Model(h.GetModel()), Domain: snipeford.FailureDomain(h.GetDomain())},
			Node:        snipeford.NodeID(h.GetNode()),
			Incarnation: snipeford.Incarnation(h.GetIncarnation()),
			Fence:       snipeford.Fence(h.GetFence()),
			RowVersion:  h.GetRowVersion(),
		})
	}
	return out
}
