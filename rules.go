package snipeford

import (
	"slices"
	"time"
)

// OrganisationRule holds the limits of one organisation.
type OrganisationRule struct {
	// KeySHA256 is the hex SHA-256 of the organisation's bearer key.
	KeySHA256         string
	TokensPerSecond   TokensPerSecond
	RequestsPerSecond float64
	MaxConcurrent     int    `json:"Concurrent"`
	MaxPrompt         Tokens `json:"LongestPrompt"`
	Weight            float64
	// ShortQueueTimeout and LongQueueTimeout limit the time in a queue of prompts
	// up to MaxShortPrompt and of longer ones.
	ShortQueueTimeout time.Duration `json:"ShortWait"`
	LongQueueTimeout  time.Duration `json:"LongWait"`
	RequestedBy       string        `json:"AskedBy"`
}

// ModelRule holds the limits for all requests to one model.
type ModelRule struct {
	Timeout     time.Duration
	MaxOutput   Tokens
	RequestedBy string `json:"AskedBy"`
}

// ServiceRule holds the limits for one plain service.
type ServiceRule struct {
	Timeout time.Duration
	// AtMostOnce lists the calls, as "METHOD /path", that must not run twice.
	AtMostOnce  []string `json:"Once"`
	RequestedBy string   `json:"AskedBy"`
}

// Rules is the content of one accepted rules file, which `snipeford serve` uses.
// `snipeford edge` uses Routing instead.
type Rules struct {
	Organisations map[Organisation]OrganisationRule
	Models        map[Model]ModelRule
	Services      map[ServiceName]ServiceRule
}

// Configuration is one accepted version of the rules and of the failure domains
// and upstreams that are out of service, which `snipeford serve` uses.
type Configuration struct {
	Version      Version
	Rules        Rules
	OutDomains   []FailureDomain
	OutUpstreams []UpstreamID
	// ChangedBy, ChangeSummary and ChangedAt describe the change that created this
	// version.
	ChangedBy     string    `json:"By"`
	ChangeSummary string    `json:"What"`
	ChangedAt     time.Time `json:"When"`
	// ChangeID is the unique id of that change.
	ChangeID string `json:"Change"`
}

// IsOut reports whether operators have taken u or its failure domain out of
// service.
func (c *Configuration) IsOut(u Upstream) bool {
	return slices.Contains(c.OutDomains, u.Domain) || slices.Contains(c.OutUpstreams, u.ID)
}
