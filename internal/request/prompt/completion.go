// Package prompt parses the bodies of callers' completion requests, counts the
// tokens of their prompts and hashes the leading blocks of their prompts.
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
	// BytesPerToken is an estimate; only engines count tokens exactly.
	BytesPerToken = 4
	// BlockBytes is the length of one hashed block of 512 tokens.
	BlockBytes = 512 * BytesPerToken
	// MaxHashedBlocks limits how many leading blocks of a prompt are hashed.
	MaxHashedBlocks = 32
	// DefaultMaxTokens limits the output of a request without max_tokens.
	DefaultMaxTokens = 256
)

// Completion is a request in the widely used completions JSON format. Unknown
// fields are ignored, because client libraries send many others.
type Completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens *int64 `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// Parse decodes and validates a body. A refusal names the invalid field.
func Parse(body []byte) (Completion, *snipeford.Refusal) {
	var c Completion
	if err := json.Unmarshal(body, &c); err != nil {
		return c, badRequest(fieldName(err), "body is not a completions request: "+err.Error())
	}
	if !json.Valid(bytes.TrimSpace(body)) || len(bytes.TrimSpace(body)) == 0 || bytes.TrimSpace(body)[0] != '{' {
		return c, badRequest("", "body is not a JSON object")
	}
	switch {
	case c.Model == "":
		return c, badRequest("model", "model is missing")
	case c.Prompt == "":
		return c, badRequest("prompt", "prompt is missing or empty")
	case c.MaxTokens != nil && *c.MaxTokens <= 0:
		return c, badRequest("max_tokens", fmt.Sprintf("max_tokens is %d and has to be above 0", *c.MaxTokens))
	}
	return c, nil
}

func fieldName(err error) string {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return typeErr.Field
	}
	return ""
}

func badRequest(field, message string) *snipeford.Refusal {
	return &snipeford.Refusal{
		Status:  http.StatusBadRequest,
		Cause:   snipeford.CauseBadRequest,
		Outcome: snipeford.NotRun,
		Field:   field,
		Message: message,
	}
}

// MaxOutput returns the maximum output length under the model's limit. A limit
// of 0 means that the model has none.
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

// CountTokens returns the estimated length of a text in tokens, rounded up.
func CountTokens(text string) snipeford.Tokens {
	return snipeford.Tokens((len(text) + BytesPerToken - 1) / BytesPerToken)
}

// BlockHashes returns the hashes of the leading complete blocks of a prompt. Each
// hash also covers all blocks before its own.
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

// Slice returns the text of a prompt between two token positions.
func Slice(text string, from, to snipeford.Tokens) string {
	start := min(int(from)*BytesPerToken, len(text))
	end := min(int(to)*BytesPerToken, len(text))
	return text[start:end]
}
