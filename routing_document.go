package snipeford

// EntryKind is the kind of an entry of a RoutingDocument.
type EntryKind string

// Kinds of entry. A document has one version and at most one entry with limits.
const (
	EntryVersion      EntryKind = "Version"
	EntryLimits       EntryKind = "Limits"
	EntryRoute        EntryKind = "Route"
	EntryService      EntryKind = "Service"
	EntryOrganisation EntryKind = "Organisation"
)

// EntryField is a field of an entry.
type EntryField string

// Fields of entries that checks refer to.
const (
	FieldVersion               EntryField = "Version"
	FieldPrefix                EntryField = "Prefix"
	FieldKind                  EntryField = "Kind"
	FieldAnonymous             EntryField = "Anonymous"
	FieldMaxAttempts           EntryField = "MaxAttempts"
	FieldTimeout               EntryField = "Timeout"
	FieldWeightedServices      EntryField = "WeightedServices"
	FieldName                  EntryField = "Name"
	FieldColdPeriod            EntryField = "ColdPeriod"
	FieldColdRequestsPerSecond EntryField = "ColdRequestsPerSecond"
	FieldKeys                  EntryField = "Keys"
	FieldHeaderBytes           EntryField = "HeaderBytes"
	FieldBodyBytes             EntryField = "BodyBytes"
	FieldHeaderTimeout         EntryField = "HeaderTimeout"
	FieldIdleTimeout           EntryField = "IdleTimeout"
)

// EntryPlace locates an entry in the operators' configuration.
type EntryPlace struct {
	Kind EntryKind
	// List is the member of the configuration that holds the entry, and Index its place
	// there, or -1 if the member is no list.
	List  string
	Index int
	Name  string
}

// DocumentEntry is an entry of the operators' configuration as written and as decoded.
type DocumentEntry struct {
	EntryPlace
	// Members holds the members of the entry except API keys, as compact JSON.
	Members map[string]string
	// One of these is set if the entry could be decoded. It belongs to the routing of the
	// document.
	Route   *Route
	Service *ServiceProfile
	Access  *Access
}

// EntryError is the error of an entry, or of the whole configuration if Place.Kind is
// empty. Member is the member with the error, if known.
type EntryError struct {
	Place  EntryPlace
	Member string
	Err    error
}

// RoutingDocument is a version of the operators' configuration, with the places of its
// entries, for checks before it is in force.
type RoutingDocument struct {
	// Routing is what nodes decode, and Refused why they refuse the whole configuration.
	Routing Routing
	Refused error
	Errors  []EntryError
	Entries []DocumentEntry
	// Names holds the names of fields in the configuration.
	Names map[EntryField]string
}
