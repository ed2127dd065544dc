package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"snipeford/platform/standin"
)

const (
	// lightOrganisations is the number of the clients of variant Share that have an
	// organisation of their own. All others belong to one.
	lightOrganisations = 8
	heavyOrganisation  = "heavy"
	// floodFactor is the number of clients of variant Share for each one of the plan. Their
	// streams take more than the 16 slots of each replica.
	floodFactor = 10
	// minLightShare is the least share of the requests of light organisations that are
	// served, relative to that of the heavy one or to all, whichever is less. Stops of nodes
	// and faults of replicas concern both.
	minLightShare = 0.9
	// minHeavyShare is the same for the heavy organisation, relative to all requests.
	minHeavyShare = 0.25
)

// shareSeries are stops of single nodes, each of which may be the home.
var shareSeries = []faultSeries{{[]fault{{"stop", stopOne}}, 1000, []int{3000}}}

// organisationOf returns the organisation of a client of variant Share.
func organisationOf(client int) string {
	if client < lightOrganisations {
		return "light" + strconv.Itoa(client)
	}
	return heavyOrganisation
}

// organisationOfRequest returns the organisation of a request's client by its id.
func organisationOfRequest(id string) string {
	_, rest, _ := strings.Cut(id, "-c")
	number, _, _ := strings.Cut(rest, "-")
	client, _ := strconv.Atoi(number)
	return organisationOf(client)
}

func organisations() []string {
	out := []string{heavyOrganisation}
	for i := range lightOrganisations {
		out = append(out, organisationOf(i))
	}
	return out
}

// nextShared returns the requests of a client: long streams without a pause of the heavy
// organisation, and now and then a short one of a light one.
func (f *fleet) nextShared(ctx context.Context, number int) nextRequest {
	organisation := organisationOf(number)
	return func(rng *rand.Rand, id string) request {
		q := request{id: id, key: organisation, parts: sessionParts(number), work: standin.Work{Events: 15, Interval: 100 * time.Millisecond}}
		if organisation != heavyOrganisation {
			q.work.Events = 3
			sleepRandom(ctx, rng, 100, 300)
		}
		return q.on("stream")
	}
}

// checkShares checks that a flood of one organisation does not keep others from being
// served, and that it is served, too.
func (f *fleet) checkShares(r *Report) {
	sent, served := map[bool]float64{}, map[bool]float64{}
	for _, e := range r.exchanges {
		heavy := e.key == heavyOrganisation
		sent[heavy]++
		if e.isServed() {
			served[heavy]++
		}
	}
	light, heavy := served[false]/max(1, sent[false]), served[true]/max(1, sent[true])
	all := (served[false] + served[true]) / max(1, sent[false]+sent[true])
	r.addRemark("served %.3f of %.0f requests of light organisations, %.3f of %.0f of the heavy one", light, sent[false], heavy, sent[true])
	if f.plan.OldProgram != "" {
		// A home of an earlier build knows no organisations.
		return
	}
	if want := minLightShare * max(all, heavy); light < want {
		r.addViolation("%.3f of the requests of light organisations were served, want at least %.3f", light, want)
	}
	if want := minHeavyShare * all; heavy < want {
		r.addViolation("%.3f of the requests of the heavy organisation were served, want at least %.3f", heavy, want)
	}
}

// writeShareConfiguration writes a configuration with the organisations of variant Share.
func (f *fleet) writeShareConfiguration() error {
	configuration, err := standin.Configuration(int(f.configurationVersion.Add(1)), host)
	if err != nil {
		return err
	}
	if configuration, err = standin.AddOrganisations(configuration, organisations()); err != nil {
		return fmt.Errorf("add organisations: %w", err)
	}
	f.store.Put("op", "config", configuration)
	return nil
}
