package soak

import (
	"testing"
	"time"

	"snipeford"
	"snipeford/platform/standin"
)

// at returns the instant that is a number of seconds after the start of a run.
func at(seconds float64) snipeford.Instant {
	return snipeford.Instant(0).Add(time.Duration(seconds * float64(time.Second)))
}

func exchangeBetween(sent, ended float64) exchange {
	return exchange{request: request{timeout: streamTimeout}, sent: at(sent), ended: at(ended)}
}

func TestIsCut(t *testing.T) {
	arrived := standin.Record{Arrivals: []snipeford.Instant{at(20)}, Runs: 1}
	with := func(change func(*standin.Record)) standin.Record {
		r := arrived
		change(&r)
		return r
	}
	stop := []snipeford.Instant{at(20)}
	whole, truncated := exchangeBetween(21, 22), exchangeBetween(21, 22)
	whole.status, whole.complete, truncated.status = 502, true, 200
	working := with(func(r *standin.Record) { r.Working = 1 })
	tests := []struct {
		name   string
		e      exchange
		record standin.Record
		stops  []snipeford.Instant
		want   bool
	}{
		{"complete response", whole, arrived, stop, false},
		{"reached a replica", exchangeBetween(27.5, 27.6), arrived, stop, true},
		{"reached a replica of a running node", exchangeBetween(3, 3.1), arrived, nil, true},
		{"truncated", truncated, arrived, stop, true},
		{"truncated by the replica", truncated, with(func(r *standin.Record) { r.BrokenOff = true }), stop, false},
		{"deadline", exchangeBetween(15, 25), arrived, stop, false},
		{"not read", exchangeBetween(22, 22.1), standin.Record{}, stop, false},
		{"not forwarded for too long", exchangeBetween(22, 22.3), standin.Record{}, stop, true},
		{"still running at the end of the stop", exchangeBetween(22, 27.6), working, stop, false},
		{"ran until the end of the stop", exchangeBetween(22, 27.6), with(func(r *standin.Record) { r.LastRunEnd = at(27.6) }), stop, false},
		{"run ended before the end of the stop", exchangeBetween(22, 27.6), with(func(r *standin.Record) { r.LastRunEnd = at(26) }), stop, true},
		{"cut early", exchangeBetween(22, 25), working, stop, true},
		{"sent too long after SIGTERM", exchangeBetween(23.1, 27.6), working, stop, true},
		{"running at the end of another stop", exchangeBetween(22, 27.6), working, []snipeford.Instant{at(10)}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := isCut(tt.e, tt.record, tt.stops); got != tt.want {
				t.Errorf("got cut %v, want %v: %s", got, tt.want, describeCut(tt.e, tt.record, tt.stops))
			}
		})
	}
}
