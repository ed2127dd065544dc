// Package answer is what emulated engines say: a text that follows from the
// prompt alone, so that a caller can tell its own whole answer from any other.
package answer

import (
	"encoding"
	"encoding/hex"
	"fmt"
	"hash"
	"hash/fnv"
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"snipeford"
)

// shortest is the least part of the allowed length, in hundredths, that an
// answer takes.
const shortest = 25

// Answer is the answer to one prompt.
type Answer struct{ sum uint64 }

// Of returns the answer to a whole prompt.
func Of(prompt string) Answer {
	h := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(prompt))
	return Answer{h.Sum64()}
}

// Extend hashes one more segment behind an exported state and returns the new
// state, which stands for exported memory, and the answer to the prompt so far.
func Extend(handle, segment string) (string, Answer, error) {
	h := fnv.New64a()
	if err := restore(h, handle); err != nil {
		return "", Answer{}, err
	}
	_, _ = h.Write([]byte(segment))
	state, err := h.(encoding.BinaryMarshaler).MarshalBinary()
	if err != nil {
		return "", Answer{}, fmt.Errorf("export state: %w", trace.Wrap(err))
	}
	return hex.EncodeToString(state), Answer{h.Sum64()}, nil
}

func restore(h hash.Hash64, handle string) error {
	if handle == "" {
		return nil
	}
	state, err := hex.DecodeString(handle)
	if err != nil {
		return fmt.Errorf("decode handle: %w", trace.Wrap(err))
	}
	if err := h.(encoding.BinaryUnmarshaler).UnmarshalBinary(state); err != nil {
		return fmt.Errorf("import state: %w", trace.Wrap(err))
	}
	return nil
}

// Length returns the answer's length under an allowed one.
func (a Answer) Length(allowed snipeford.Tokens) snipeford.Tokens {
	part := shortest + a.sum%(100-shortest)
	return max(1, allowed*snipeford.Tokens(part)/100)
}

// Token returns one token of the answer.
func (a Answer) Token(i snipeford.Tokens) string {
	return strconv.FormatUint((a.sum+uint64(i)*0x9e3779b97f4a7c15)>>40, 36) + " "
}

// Text returns the whole answer.
func (a Answer) Text(allowed snipeford.Tokens) string {
	var out strings.Builder
	for i := range a.Length(allowed) {
		out.WriteString(a.Token(i))
	}
	return out.String()
}
