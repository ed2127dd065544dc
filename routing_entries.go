package snipeford

// RoutingEntries is a version of the routing whose entries may belong to other versions,
// too. An entry with the pointer of one of another version has not changed since. The
// entries must not be changed. The other fields are those of Routing.
type RoutingEntries struct {
	Version               Version
	Routes                []*Route
	Services              []*ServiceProfile
	Access                []*Access
	DeclaresOrganisations bool
	Limits                CallerLimits
	Invalid               []error `json:"-"`
	LacksRoutes           bool
	LacksKeys             bool
}

// DecodeCost is the work to decode one version of the routing: the entries that were
// shared with the version before and those that were decoded, with their bytes.
type DecodeCost struct {
	RowBytes, DecodedBytes int
	Reused, Decoded        int
}

// RoutingDecoder decodes successive values of the routing row. It keeps the entries of the
// last value, so that the next one costs what has changed. It calls yield between parts of
// its work that take a fraction of a millisecond, unless one entry is very large. It keeps
// the value, which must not be changed. It is not safe for concurrent use.
type RoutingDecoder interface {
	// Version returns the version of a value, or zero if it has none. It does not decode the
	// entries.
	Version(value []byte, yield func()) Version
	// Decode decodes a value as RowDecoder.Routing does.
	Decode(value []byte, yield func()) (RoutingEntries, DecodeCost, error)
}

// SharingDecoder is implemented by RowDecoders that can decode a version of the routing at
// the cost of what has changed.
type SharingDecoder interface {
	NewRoutingDecoder() RoutingDecoder
}
