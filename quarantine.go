package snipeford

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
)

// Quarantine is the decision on a prefix part that crashed engines of a service: to
// refuse the requests with it, or, if Released is set, to accept them again.
type Quarantine struct {
	Service ServiceName
	Part    PrefixPart
	// Generation orders the decisions on a part. The highest is in force.
	Generation uint64
	Released   bool `json:",omitempty"`
	// Trials is the number of requests that were sent to an engine in spite of the
	// quarantine, to find out whether the part still crashes it.
	Trials int `json:",omitempty"`
	// Upstreams lists engines that crashed, the evidence for the quarantine.
	Upstreams []UpstreamID `json:",omitempty"`
}

// requestKeyPrefix distinguishes keys of whole requests from prefix parts, which contain
// no colon.
const requestKeyPrefix = "request:"

// RequestKey returns the key of all requests with the same target, caller and body. A
// quarantine takes it in the place of a prefix part.
func RequestKey(host, target string, caller Organisation, body []byte) PrefixPart {
	h := sha256.New()
	for _, field := range [][]byte{[]byte(host), []byte(target), []byte(caller), body} {
		// Writing to a hash never fails. The lengths keep fields apart.
		_ = binary.Write(h, binary.BigEndian, int64(len(field)))
		_, _ = h.Write(field)
	}
	return PrefixPart(requestKeyPrefix + hex.EncodeToString(h.Sum(nil)[:requestKeyBytes]))
}

// requestKeyBytes is the length of a request key's hash.
const requestKeyBytes = 16

// IsRequest reports whether the part is the key of a whole request.
func (p PrefixPart) IsRequest() bool { return strings.HasPrefix(string(p), requestKeyPrefix) }
