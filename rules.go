package snipeford

import (
	"slices"
	"time"
)

// OrganisationRule is what operators allow one organisation.
type OrganisationRule struct {
	// KeySHA256 is the hex SHA-256 of the organisation's bearer key.
	KeySHA256         string
	TokensPerSecond   TokensPerSecond
	RequestsPerSecond float64
	Concurrent        int
	LongestPrompt     Tokens
	Weight            float64
	// ShortWait and LongWait bound the wait in a queue for prompts up to
	// ShortPrompt and above.
	ShortWait time.Duration
	LongWait  time.Duration
	AskedBy   string
}

// ModelRule is what holds for all requests to one model.
type ModelRule struct {
	Timeout   time.Duration
	MaxOutput Tokens
	AskedBy   string
}

// ServiceRule is what holds for one plain service.
type ServiceRule struct {
	Timeout time.Duration
	// Once lists the calls, as "METHOD /path", that must never run twice.
	Once    []string
	AskedBy string
}

// Rules is the content of one accepted rules file.
type Rules struct {
	Organisations map[Organisation]OrganisationRule
	Models        map[Model]ModelRule
	Services      map[ServiceName]ServiceRule
}

// Configuration is one accepted version of rules and of what is out.
type Configuration struct {
	Version      Version
	Rules        Rules
	OutDomains   []FailureDomain
	OutUpstreams []UpstreamID
	// By, What and When record the change that made this version.
	By   string
	What string
	When time.Time
	// Change is the unique id of that change.
	Change string
}

// IsOut reports whether operators have taken the upstream out.
func (c *Configuration) IsOut(u Upstream) bool {
	return slices.Contains(c.OutDomains, u.Domain) || slices.Contains(c.OutUpstreams, u.ID)
}
