// Package arrival draws the requests of an experiment from a seed: the same
// seed gives the same requests under virtual time and against running nodes.
package arrival

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"snipeford"
	"snipeford/internal/request/prompt"
)

// Kind is what a request is.
type Kind int

// Kinds of requests.
const (
	Completion Kind = iota
	Order
	Lookup
)

// Request is one request of an experiment.
type Request struct {
	Number       int
	At           time.Duration
	Kind         Kind
	Organisation snipeford.Organisation
	Prompt       snipeford.Tokens
	MaxOutput    snipeford.Tokens
	// SharedPrefix is the number of a shared prefix, or zero.
	SharedPrefix int
}

// Mix says how requests are drawn.
type Mix struct {
	Seed uint64
	// Rate is the requests a second, drawn as a Poisson process.
	Rate          float64
	Duration      time.Duration
	Organisations []OrganisationShare
	// BandShares holds the part of each length band; the rest goes to the shortest.
	BandShares [snipeford.BandCount]float64
	// OrderShare and LookupShare are the parts of requests to a plain service.
	OrderShare, LookupShare float64
	// SharedPrefixShare is the part of completions that start with one of SharedKinds
	// prefixes, the first of which is the hottest.
	SharedPrefixShare float64
	SharedPrefixCount int
}

// OrganisationShare is one organisation's part of the requests.
type OrganisationShare struct {
	Name  snipeford.Organisation
	Share float64
}

// SharedPrefixTokens is the length of a shared prefix.
const SharedPrefixTokens snipeford.Tokens = 4_096

// Ends of the length bands that are drawn, in tokens.
const (
	shortest snipeford.Tokens = 1_000
	longest  snipeford.Tokens = 1_000_000
	// hugeShape is the shape of the Pareto distribution above LongPrompt.
	hugeShape = 1.4
	// Ends of the allowed answer length.
	leastOutput = 32
	mostOutput  = 256
)

// DefaultBands is the mix of both deployments: one in fifty prompts is longer
// than a hundred thousand tokens.
var DefaultBands = [snipeford.BandCount]float64{0.60, 0.25, 0.13, 0.02}

// Generate returns all requests of a mix in the order of their arrival.
func Generate(m Mix) []Request {
	source := rand.NewPCG(m.Seed, 0x5eed)
	r := rand.New(source)
	gap := distuv.Exponential{Rate: m.Rate, Src: source}
	var out []Request
	at := time.Duration(0)
	for {
		at += time.Duration(gap.Rand() * float64(time.Second))
		if at >= m.Duration {
			return out
		}
		out = append(out, m.draw(r, source, len(out)+1, at))
	}
}

func (m Mix) draw(r *rand.Rand, source rand.Source, number int, at time.Duration) Request {
	out := Request{Number: number, At: at, Organisation: m.organisation(r)}
	kind := r.Float64()
	switch {
	case kind < m.OrderShare:
		out.Kind = Order
		return out
	case kind < m.OrderShare+m.LookupShare:
		out.Kind = Lookup
		return out
	}
	out.Prompt = m.length(r, source)
	out.MaxOutput = leastOutput + snipeford.Tokens(r.Int64N(mostOutput-leastOutput))
	if m.SharedPrefixCount > 0 && r.Float64() < m.SharedPrefixShare {
		// Squaring makes the first prefixes the hottest.
		u := r.Float64()
		out.SharedPrefix = 1 + int(u*u*float64(m.SharedPrefixCount))
		out.Prompt = max(out.Prompt, SharedPrefixTokens+512)
	}
	return out
}

func (m Mix) organisation(r *rand.Rand) snipeford.Organisation {
	u := r.Float64()
	for _, s := range m.Organisations {
		if u < s.Share {
			return s.Name
		}
		u -= s.Share
	}
	return m.Organisations[len(m.Organisations)-1].Name
}

func (m Mix) length(r *rand.Rand, source rand.Source) snipeford.Tokens {
	u := r.Float64()
	for band := snipeford.BandHuge; band > snipeford.BandShort; band-- {
		if u < m.BandShares[band] {
			return lengthIn(r, source, band)
		}
		u -= m.BandShares[band]
	}
	return logUniform(r, shortest, snipeford.MaxShortPrompt)
}

func lengthIn(r *rand.Rand, source rand.Source, band snipeford.LengthBand) snipeford.Tokens {
	switch band {
	case snipeford.BandMedium:
		return logUniform(r, snipeford.MaxShortPrompt+1, snipeford.MaxMediumPrompt)
	case snipeford.BandLong:
		return logUniform(r, snipeford.MaxMediumPrompt+1, snipeford.MaxLongPrompt)
	}
	pareto := distuv.Pareto{Xm: float64(snipeford.MaxLongPrompt) + 1, Alpha: hugeShape, Src: source}
	return min(snipeford.Tokens(pareto.Rand()), longest)
}

func logUniform(r *rand.Rand, from, to snipeford.Tokens) snipeford.Tokens {
	low, high := math.Log(float64(from)), math.Log(float64(to))
	return snipeford.Tokens(math.Exp(low + r.Float64()*(high-low)))
}

// MeanPrompt returns the mean prompt length of a mix, drawn from its seed.
func MeanPrompt(m Mix) float64 {
	const sample = 200_000
	source := rand.NewPCG(m.Seed, 0x3ea4)
	r := rand.New(source)
	var sum float64
	for range sample {
		sum += float64(m.length(r, source))
	}
	return sum / sample
}

// Text returns the prompt's text: a shared prefix, if any, and then text that
// no other request has.
func (q Request) Text() string {
	var out strings.Builder
	total := int(q.Prompt) * prompt.BytesPerToken
	out.Grow(total + 64)
	if q.SharedPrefix > 0 {
		fill(&out, fmt.Sprintf("shared dossier %d; ", q.SharedPrefix), int(SharedPrefixTokens)*prompt.BytesPerToken)
	}
	fill(&out, fmt.Sprintf("request %d of %s at %d; ", q.Number, q.Organisation, q.At), total)
	return out.String()
}

func fill(out *strings.Builder, text string, until int) {
	for out.Len()+len(text) <= until {
		out.WriteString(text)
	}
	out.WriteString(text[:max(0, until-out.Len())])
}

// BlockHashes returns the hashes that the prompt's leading blocks would have, cheap
// enough for virtual time.
func (q Request) BlockHashes() []uint64 {
	n := min(int(q.Prompt*prompt.BytesPerToken/prompt.BlockBytes), prompt.MaxHashedBlocks)
	shared := int(SharedPrefixTokens * prompt.BytesPerToken / prompt.BlockBytes)
	out := make([]uint64, n)
	for i := range out {
		if q.SharedPrefix > 0 && i < shared {
			out[i] = uint64(q.SharedPrefix)<<32 | uint64(i)
			continue
		}
		out[i] = 1<<63 | uint64(q.Number)<<16 | uint64(i)
	}
	return out
}
