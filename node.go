package snipeford

// Member is a node as described by its lease row.
type Member struct {
	Node        NodeID
	Incarnation Incarnation
	Domain      FailureDomain
	// PeerAddress is where the node listens for requests from other nodes.
	PeerAddress string
	Leaving     bool
}

// LeaseRow is a Member with the table version of its row.
type LeaseRow struct {
	Member
	RowVersion uint64
}

// HomeRow records which node is the home of a group. Node is empty if the group
// was released.
type HomeRow struct {
	Group       Group
	Node        NodeID
	Incarnation Incarnation
	Fence       FencingToken
	RowVersion  uint64
}

// GroupSummary is the load of a group, which its home sends to all nodes.
type GroupSummary struct {
	Group          Group
	Fence          FencingToken
	UsableReplicas int
	// WarmReplicas counts the usable replicas that are not cold, and FreeSlots
	// the further requests that their concurrency windows allow.
	WarmReplicas int
	FreeSlots    int
	// TotalMemory is the memory of all usable replicas, and LargestMemory that of
	// the largest one.
	TotalMemory   Tokens
	LargestMemory Tokens
	PrefillRate   TokensPerSecond
	// Backlog is the work that is queued or being prefilled.
	Backlog Tokens
	// ShortPromptCost is the lowest Router.ShortPromptCost of the usable
	// replicas, raised where a replica's window is full.
	ShortPromptCost Tokens
}

// ShareDemand reports how much of an organisation's limits a node needs.
type ShareDemand struct {
	Organisation Organisation
	// Demand is the work requested at the node since its last heartbeat.
	Demand Tokens
	// CurrentShare is the fraction of the limits that the node uses at present.
	CurrentShare float64
}

// ShareGrant is the fraction of an organisation's limits that a node may use.
type ShareGrant struct {
	Organisation Organisation
	Share        float64
}

// Heartbeat is the message that a node sends to each peer every second.
type Heartbeat struct {
	Member
	Configuration  Version
	TableReachable bool
	Groups         []GroupSummary
	ShareDemands   []ShareDemand
	ShareGrants    []ShareGrant
	// TransferredHomes lists the groups whose home the node recently gave to
	// other nodes.
	TransferredHomes []HomeRow
}
