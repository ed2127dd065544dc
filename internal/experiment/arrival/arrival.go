// Package arrival generates the requests of an experiment from a seed. The same
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

// Kind is the type of a request. A Completion asks a model for a streamed
// completion. An Order and a Lookup call a plain service: an Order is a POST request
// with an idempotency key, a Lookup a GET request.
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
	// SharedPrefix is the number of the shared prefix that the prompt starts with,
	// or zero for none.
	SharedPrefix int
}

// Mix describes the distribution of the generated requests.
type Mix struct {
	Seed uint64
	// Rate is the mean number of requests per second. Arrivals form a Poisson
	// process.
	Rate          float64
	Duration      time.Duration
	Organisations []OrganisationShare
	// BandShares holds the share of each length band. The remainder goes to the
	// shortest band.
	BandShares [snipeford.BandCount]float64
	// OrderShare and LookupShare are the shares of requests to a plain service.
	OrderShare, LookupShare float64
	// SharedPrefixShare is the share of completions that start with one of
	// SharedPrefixCount prefixes. The first prefix is the most frequent.
	SharedPrefixShare float64
	SharedPrefixCount int
}

// OrganisationShare is the share of the requests that an organisation sends.
type OrganisationShare struct {
	Name  snipeford.Organisation
	Share float64
}

// SharedPrefixTokens is the length of a shared prefix.
const SharedPrefixTokens snipeford.Tokens = 4_096

// Limits of the generated requests, in tokens.
const (
	minPrompt snipeford.Tokens = 1_000
	maxPrompt snipeford.Tokens = 1_000_000
	// hugeParetoShape is the shape of the Pareto distribution of prompts above
	// MaxLongPrompt.
	hugeParetoShape = 1.4
	// Limits of MaxOutput.
	minOutput = 32
	maxOutput = 256
)

// DefaultBands is the distribution of prompt lengths in both deployments: one
// prompt in fifty is longer than 100,000 tokens.
var DefaultBands = [snipeford.BandCount]float64{0.60, 0.25, 0.13, 0.02}

// Generate returns all requests of a mix, ordered by arrival.
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
		out = append(out, m.drawRequest(r, source, len(out)+1, at))
	}
}

func (m Mix) drawRequest(r *rand.Rand, source rand.Source, number int, at time.Duration) Request {
	out := Request{Number: number, At: at, Organisation: m.drawOrganisation(r)}
	kind := r.Float64()
	switch {
	case kind < m.OrderShare:
		out.Kind = Order
		return out
	case kind < m.OrderShare+m.LookupShare:
		out.Kind = Lookup
		return out
	}
	out.Prompt = m.drawPromptLength(r, source)
	out.MaxOutput = minOutput + snipeford.Tokens(r.Int64N(maxOutput-minOutput))
	if m.SharedPrefixCount > 0 && r.Float64() < m.SharedPrefixShare {
		// Squaring makes the first prefixes the most frequent.
		u := r.Float64()
		out.SharedPrefix = 1 + int(u*u*float64(m.SharedPrefixCount))
		out.Prompt = max(out.Prompt, SharedPrefixTokens+512)
	}
	return out
}

func (m Mix) drawOrganisation(r *rand.Rand) snipeford.Organisation {
	u := r.Float64()
	for _, s := range m.Organisations {
		if u < s.Share {
			return s.Name
		}
		u -= s.Share
	}
	return m.Organisations[len(m.Organisations)-1].Name
}

func (m Mix) drawPromptLength(r *rand.Rand, source rand.Source) snipeford.Tokens {
	u := r.Float64()
	for band := snipeford.BandHuge; band > snipeford.BandShort; band-- {
		if u < m.BandShares[band] {
			return drawLengthInBand(r, source, band)
		}
		u -= m.BandShares[band]
	}
	return logUniform(r, minPrompt, snipeford.MaxShortPrompt)
}

func drawLengthInBand(r *rand.Rand, source rand.Source, band snipeford.LengthBand) snipeford.Tokens {
	switch band {
	case snipeford.BandMedium:
		return logUniform(r, snipeford.MaxShortPrompt+1, snipeford.MaxMediumPrompt)
	case snipeford.BandLong:
		return logUniform(r, snipeford.MaxMediumPrompt+1, snipeford.MaxLongPrompt)
	}
	pareto := distuv.Pareto{Xm: float64(snipeford.MaxLongPrompt) + 1, Alpha: hugeParetoShape, Src: source}
	return min(snipeford.Tokens(pareto.Rand()), maxPrompt)
}

func logUniform(r *rand.Rand, from, to snipeford.Tokens) snipeford.Tokens {
	low, high := math.Log(float64(from)), math.Log(float64(to))
	return snipeford.Tokens(math.Exp(low + r.Float64()*(high-low)))
}

// MeanPrompt returns the mean prompt length of the completions of a mix, before
// prompts are lengthened for a shared prefix. It is estimated from a sample that is
// drawn with the seed of the mix, but from another random stream than Generate uses.
func MeanPrompt(m Mix) float64 {
	const sample = 200_000
	source := rand.NewPCG(m.Seed, 0x3ea4)
	r := rand.New(source)
	var sum float64
	for range sample {
		sum += float64(m.drawPromptLength(r, source))
	}
	return sum / sample
}

// Text returns the text of the prompt: the shared prefix, if any, followed by
// text that is unique to the request.
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

// BlockHashes returns synthetic hashes of the leading blocks of the prompt, because
// building and hashing the text of each request would slow down runs under virtual
// time. In a shared prefix, the upper 32 bits of a hash hold the number of the prefix
// and the lower 32 bits the index of the block. Elsewhere the top bit is set, the
// number of the request starts at bit 16, and the low 16 bits hold the index.
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
