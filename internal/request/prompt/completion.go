// Package prompt reads callers' completion requests: the body, the prompt's
// length in tokens and the hashes of its leading blocks.
package prompt

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"snipeford"
)

// Sizes of prompts.
const (
	// BytesPerToken is the assumed length of a token; engines count exactly.
	BytesPerToken = 4
	// BlockBytes is the length of one hashed block: 512 tokens.
	BlockBytes = 512 * BytesPerToken
	// MaxHashedBlocks bounds how many leading blocks are hashed.
	MaxHashedBlocks = 32
	// DefaultMaxTokens is the allowed answer length where the caller names none.
	DefaultMaxTokens = 256
)

// Completion is a request in the widely used completions JSON. Fields that it
// does not name are ignored, as callers' libraries send many.
type Completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens *int64 `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// Parse reads and checks a body. A refusal names the field.
func Parse(body []byte) (Completion, *snipeford.Refusal) {
	var c Completion
	if err := json.Unmarshal(body, &c); err != nil {
		return c, bad(fieldOf(err), "body is not a completions request: "+err.Error())
	}
	if !json.Valid(bytes.TrimSpace(body)) || len(bytes.TrimSpace(body)) == 0 || bytes.TrimSpace(body)[0] != '{' {
		return c, bad("", "body is not a JSON object")
	}
	switch {
	case c.Model == "":
		return c, bad("model", "model is missing")
	case c.Prompt == "":
		return c, bad("prompt", "prompt is missing or empty")
	case c.MaxTokens != nil && *c.MaxTokens <= 0:
		return c, bad("max_tokens", fmt.Sprintf("max_tokens is %d and has to be above 0", *c.MaxTokens))
	}
	return c, nil
}

func fieldOf(err error) string {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return wrong.Field
	}
	return ""
}

func bad(field, message string) *snipeford.Refusal {
	return &snipeford.Refusal{
		Status:  http.StatusBadRequest,
		Cause:   snipeford.CauseBadRequest,
		Outcome: snipeford.NotRun,
		Field:   field,
		Message: message,
	}
}

// MaxOutput returns the allowed answer length under the model's own limit.
func (c Completion) MaxOutput(limit snipeford.Tokens) snipeford.Tokens {
	n := snipeford.Tokens(DefaultMaxTokens)
	if c.MaxTokens != nil {
		n = snipeford.Tokens(*c.MaxTokens)
	}
	if limit > 0 {
		n = min(n, limit)
	}
	return n
}

// CountTokens returns the length of a text in tokens.
func CountTokens(text string) snipeford.Tokens {
	return snipeford.Tokens((len(text) + BytesPerToken - 1) / BytesPerToken)
}

// BlockHashes returns the hashes of the leading whole blocks. Each hash covers all
// blocks before it.
func BlockHashes(text string) []uint64 {
	n := min(len(text)/BlockBytes, MaxHashedBlocks)
	blocks := make([]uint64, 0, n)
	digest := xxhash.New()
	for i := range n {
		// Writing to a digest never fails.
		_, _ = digest.WriteString(text[i*BlockBytes : (i+1)*BlockBytes])
		blocks = append(blocks, digest.Sum64())
	}
	return blocks
}

// Slice returns the part of a prompt between two token positions.
func Slice(text string, from, to snipeford.Tokens) string {
	start := min(int(from)*BytesPerToken, len(text))
	end := min(int(to)*BytesPerToken, len(text))
	return text[start:end]
}
