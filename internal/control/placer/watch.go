package placer

import "snipeford"

// Watch lists the keys of requests of a service that may crash its upstreams. Nodes ask
// the home for a permit before they send such a request, or any request to an upstream that
// is paced.
type Watch struct {
	Service snipeford.ServiceName
	Keys    []snipeford.PrefixPart `json:",omitempty"`
	// Paced lists the upstreams of a service without engines that have a pace at the home.
	Paced []snipeford.UpstreamID `json:",omitempty"`
}

// Watches returns the lists that the last event changed. The returned slice is valid
// until the next call of Apply.
func (s *State) Watches() []Watch { return s.watches }
