package prompt

import (
	"strings"
	"testing"

	"snipeford"
)

func TestParse(t *testing.T) {
	for _, c := range []struct{ name, body, field string }{
		{"not JSON", "hello", ""},
		{"not an object", `"text"`, ""},
		{"empty", "", ""},
		{"null", "null", ""},
		{"negative max_tokens", `{"model":"m","prompt":"p","max_tokens":-5}`, "max_tokens"},
		{"max_tokens is a string", `{"model":"m","prompt":"p","max_tokens":"many"}`, "max_tokens"},
		{"model is missing", `{"prompt":"p"}`, "model"},
		{"prompt is missing", `{"model":"m"}`, "prompt"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, refused := Parse([]byte(c.body))
			if refused == nil {
				t.Fatal("got no refusal, want one")
			}
			if refused.Status != 400 || refused.Outcome != snipeford.NotRun || refused.Field != c.field {
				t.Errorf("got %+v, want status 400, NotRun and field %q", refused, c.field)
			}
		})
	}
}

func TestBlocks(t *testing.T) {
	shared := strings.Repeat("s", 2*BlockBytes)
	a, b := BlockHashes(shared+strings.Repeat("a", BlockBytes)), BlockHashes(shared+strings.Repeat("b", BlockBytes))
	if a[1] != b[1] || a[2] == b[2] {
		t.Errorf("got %x and %x, want two blocks in common and the third not", a, b)
	}
	if got := len(BlockHashes(strings.Repeat("x", 100*BlockBytes))); got != MaxHashedBlocks {
		t.Errorf("got %d blocks, want %d", got, MaxHashedBlocks)
	}
}

// FuzzParse checks that no body makes Parse panic, and that an accepted request
// has a prompt and a positive output limit.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"p","max_tokens":5,"stream":true}`))
	f.Add([]byte(`{"model":1}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		c, refused := Parse(body)
		if refused == nil && (c.Prompt == "" || c.MaxOutput(100) <= 0) {
			t.Errorf("got %+v accepted", c)
		}
	})
}
