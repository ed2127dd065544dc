package peer

import (
	"snipeford"
	"snipeford/internal/fleet/message"
)

func memberToMessage(m snipeford.Member) *message.Member {
	return &message.Member{
		Node:        string(m.Node),
		Incarnation: string(m.Incarnation),
		Domain:      string(m.Domain),
		PeerAddress: m.PeerAddress,
		Leaving:     m.Leaving,
	}
}

func memberFromMessage(m *message.Member) snipeford.Member {
	return snipeford.Member{
		Node:        snipeford.NodeID(m.GetNode()),
		Incarnation: snipeford.Incarnation(m.GetIncarnation()),
		Domain:      snipeford.FailureDomain(m.GetDomain()),
		PeerAddress: m.GetPeerAddress(),
		Leaving:     m.GetLeaving(),
	}
}

func heartbeatToMessage(heartbeat snipeford.Heartbeat) *message.HeartbeatRequest {
	out := &message.HeartbeatRequest{
		Member:               memberToMessage(heartbeat.Member),
		ConfigurationVersion: uint64(heartbeat.Configuration),
		TableUp:              heartbeat.TableReachable,
	}
	for _, g := range heartbeat.Groups {
		out.Groups = append(out.Groups, &message.GroupSummary{
			Model:           string(g.Group.Model),
			Domain:          string(g.Group.Domain),
			Fence:           uint64(g.Fence),
			Usable:          int32(g.UsableReplicas),
			Warm:            int32(g.WarmReplicas),
			Free:            int32(g.FreeSlots),
			MemoryTokens:    int64(g.TotalMemory),
			LargestTokens:   int64(g.LargestMemory),
			TokensPerSecond: float64(g.PrefillRate),
			BacklogTokens:   int64(g.Backlog),
			ShortCostTokens: int64(g.ShortPromptCost),
		})
	}
	for _, w := range heartbeat.ShareDemands {
		out.Wants = append(out.Wants, &message.ShareWant{Organisation: string(w.Organisation), WantedTokens: int64(w.Demand), InForce: w.CurrentShare})
	}
	for _, g := range heartbeat.ShareGrants {
		out.Grants = append(out.Grants, &message.ShareGrant{Organisation: string(g.Organisation), Share: g.Share})
	}
	for _, h := range heartbeat.TransferredHomes {
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

func heartbeatFromMessage(m *message.HeartbeatRequest) snipeford.Heartbeat {
	out := snipeford.Heartbeat{
		Member:         memberFromMessage(m.GetMember()),
		Configuration:  snipeford.Version(m.GetConfigurationVersion()),
		TableReachable: m.GetTableUp(),
	}
	for _, g := range m.GetGroups() {
		out.Groups = append(out.Groups, snipeford.GroupSummary{
			Group:           snipeford.Group{Model: snipeford.Model(g.GetModel()), Domain: snipeford.FailureDomain(g.GetDomain())},
			Fence:           snipeford.FencingToken(g.GetFence()),
			UsableReplicas:  int(g.GetUsable()),
			WarmReplicas:    int(g.GetWarm()),
			FreeSlots:       int(g.GetFree()),
			TotalMemory:     snipeford.Tokens(g.GetMemoryTokens()),
			LargestMemory:   snipeford.Tokens(g.GetLargestTokens()),
			PrefillRate:     snipeford.TokensPerSecond(g.GetTokensPerSecond()),
			Backlog:         snipeford.Tokens(g.GetBacklogTokens()),
			ShortPromptCost: snipeford.Tokens(g.GetShortCostTokens()),
		})
	}
	for _, w := range m.GetWants() {
		out.ShareDemands = append(out.ShareDemands, snipeford.ShareDemand{Organisation: snipeford.Organisation(w.GetOrganisation()), Demand: snipeford.Tokens(w.GetWantedTokens()), CurrentShare: w.GetInForce()})
	}
	for _, g := range m.GetGrants() {
		out.ShareGrants = append(out.ShareGrants, snipeford.ShareGrant{Organisation: snipeford.Organisation(g.GetOrganisation()), Share: g.GetShare()})
	}
	for _, h := range m.GetHanded() {
		out.TransferredHomes = append(out.TransferredHomes, snipeford.HomeRow{
			Group:       snipeford.Group{Model: snipeford.Model(h.GetModel()), Domain: snipeford.FailureDomain(h.GetDomain())},
			Node:        snipeford.NodeID(h.GetNode()),
			Incarnation: snipeford.Incarnation(h.GetIncarnation()),
			Fence:       snipeford.FencingToken(h.GetFence()),
			RowVersion:  h.GetRowVersion(),
		})
	}
	return out
}
