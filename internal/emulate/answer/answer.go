// Package answer generates the responses of emulated engines. A response depends only
// on the prompt, so that a caller can check that it received the complete response to
// its own prompt.
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

// minLengthPercent is the minimum length of a response, in percent of the maximum
// output length.
const minLengthPercent = 25

// Response is the response to one prompt.
type Response struct{ promptHash uint64 }

// Of returns the response to a whole prompt.
func Of(prompt string) Response {
	h := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(prompt))
	return Response{h.Sum64()}
}

// Extend appends a segment to the prompt segments of a handle. It returns the handle
// of all segments so far and the response to them. A handle stands for the KV cache of
// the segments so far, which the engine of one segment passes on to the engine of the
// next. It is an encoded hash state; the handle of an empty prompt is empty.
func Extend(handle, segment string) (string, Response, error) {
	h := fnv.New64a()
	if err := restore(h, handle); err != nil {
		return "", Response{}, err
	}
	_, _ = h.Write([]byte(segment))
	state, err := h.(encoding.BinaryMarshaler).MarshalBinary()
	if err != nil {
		return "", Response{}, fmt.Errorf("export state: %w", trace.Wrap(err))
	}
	return hex.EncodeToString(state), Response{h.Sum64()}, nil
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

// Length returns the response's length in tokens for a maximum output length.
func (r Response) Length(maxOutput snipeford.Tokens) snipeford.Tokens {
	percent := minLengthPercent + r.promptHash%(100-minLengthPercent)
	return max(1, maxOutput*snipeford.Tokens(percent)/100)
}

// Token returns the token of the response at index i.
func (r Response) Token(i snipeford.Tokens) string {
	return strconv.FormatUint((r.promptHash+uint64(i)*0x9e3779b97f4a7c15)>>40, 36) + " "
}

// Text returns the complete response.
func (r Response) Text(maxOutput snipeford.Tokens) string {
	var out strings.Builder
	for i := range r.Length(maxOutput) {
		out.WriteString(r.Token(i))
	}
	return out.String()
}
