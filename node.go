package snipeford

// Member is one node as its lease row describes it.
type Member struct {
	Node        NodeID
	Incarnation Incarnation
	Domain      FailureDomain
	// PeerAddress is where the node answers its peers.
	PeerAddress string
	Leaving     bool
}

// LeaseRow is a member with the table version of its row.
type LeaseRow struct {
	Member
	RowVersion uint64
}

// HomeRow says which node is a group's home. An empty Node means released.
type HomeRow struct {
	Group       Group
	Node        NodeID
	Incarnation Incarnation
	Fence       FencingToken
	RowVersion  uint64
}

// GroupSummary is what a home tells all entries of its group.
type GroupSummary struct {
	Group          Group
	Fence          FencingToken
	UsableReplicas int
	// WarmReplicas counts the usable replicas that are not cold, and Free the requests
	// that their windows still allow.
	WarmReplicas int
	FreeSlots    int
	// TotalMemory is the sum over usable replicas, and Largest the largest one's.
	TotalMemory   Tokens
	LargestMemory Tokens
	PrefillRate   TokensPerSecond
	// Backlog is the work that waits or is being prefilled.
	Backlog Tokens
	// ShortPromptCost is the least wait of a short prompt, in tokens.
	ShortPromptCost Tokens
}

// ShareDemand is one node's use of an organisation's limits.
type ShareDemand struct {
	Organisation Organisation
	Demand       Tokens
	CurrentShare float64
}

// ShareGrant is the part of an organisation's limits that a node may use.
type ShareGrant struct {
	Organisation Organisation
	Share        float64
}

// Heartbeat is what a node tells one peer every second.
type Heartbeat struct {
	Member
	Configuration  Version
	TableReachable bool
	Groups         []GroupSummary
	ShareDemands   []ShareDemand
	ShareGrants    []ShareGrant
	// TransferredHomes names the groups that the node gave to others lately.
	TransferredHomes []HomeRow
}
