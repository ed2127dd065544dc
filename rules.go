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
	MaxConcurrent     int    `json:"Concurrent"`
	MaxPrompt         Tokens `json:"LongestPrompt"`
	Weight            float64
	// ShortQueueTimeout and LongWait bound the wait in a queue for prompts up to
	// ShortPrompt and above.
	ShortQueueTimeout time.Duration `json:"ShortWait"`
	LongQueueTimeout  time.Duration `json:"LongWait"`
	RequestedBy       string        `json:"AskedBy"`
}

// ModelRule is what holds for all requests to one model.
type ModelRule struct {
	Timeout     time.Duration
	MaxOutput   Tokens
	RequestedBy string `json:"AskedBy"`
}

// ServiceRule is what holds for one plain service.
type ServiceRule struct {
	Timeout time.Duration
	// AtMostOnce lists the calls, as "METHOD /path", that must never run twice.
	AtMostOnce  []string `json:"Once"`
	RequestedBy string   `json:"AskedBy"`
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
	// ChangedBy, What and When record the change that made this version.
	ChangedBy     string    `json:"By"`
	ChangeSummary string    `json:"What"`
	ChangedAt     time.Time `json:"When"`
	// ChangeID is the unique id of that change.
	ChangeID string `json:"Change"`
}

// IsOut reports whether operators have taken the upstream out.
func (c *Configuration) IsOut(u Upstream) bool {
	return slices.Contains(c.OutDomains, u.Domain) || slices.Contains(c.OutUpstreams, u.ID)
}
