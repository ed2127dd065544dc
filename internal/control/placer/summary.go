package placer

import (
	"time"

	"snipeford"
	"snipeford/internal/policy/placement"
)

// summaryInterval is the time between two summaries of a service for the log: one line in
// some seconds is a small part of the log's limit of 200 lines a second.
const summaryInterval = 5 * time.Second

// ServiceSummary is the summary of the engines of a service.
type ServiceSummary struct {
	Service snipeford.ServiceName
	placement.Summary
}

// summaries returns the summaries of all services with engines, once in summaryInterval.
func (s *State) summaries(now snipeford.Instant) []ServiceSummary {
	if now.Sub(s.summarizedAt) < summaryInterval {
		return nil
	}
	s.summarizedAt = now
	var out []ServiceSummary
	for _, service := range s.sorted {
		if service.hasEngines {
			out = append(out, ServiceSummary{service.name, service.Summary(now)})
		}
	}
	return out
}
