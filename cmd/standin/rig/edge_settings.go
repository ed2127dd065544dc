package rig

import (
	"cmp"
	"fmt"
	"time"
)

// EdgeSettings are the settings of a node of `snipeford edge`.
type EdgeSettings struct {
	Node, FailureDomain string
	// Addresses are those for callers, readiness, peers and metrics.
	Addresses  []string
	Store      string
	Revocation time.Duration
	StopGrace  time.Duration
	// MemoryMegabytes is the memory of the VM; 0 means defaultMemoryMegabytes.
	MemoryMegabytes int
}

// defaultMemoryMegabytes is the memory of a VM of medium size.
const defaultMemoryMegabytes = 284

const edgeSettingsText = `Node = %q
FailureDomain = %q
CallerAddress = %q
ReadyAddress = %q
PeerAddress = %q
MetricsAddress = %q
Store = %q
ProcessorShare = 0.4
MemoryMegabytes = %d
RevocationMilliseconds = %d
ConfigurationMilliseconds = 2000
FirstStart = "true"
StopGraceSeconds = %d
RepeatRatio = 0.2
RepeatWindowSeconds = 10
RepeatSlack = 100
`

// Encode returns the text of the settings file.
func (s EdgeSettings) Encode() []byte {
	return fmt.Appendf(nil, edgeSettingsText, s.Node, s.FailureDomain, s.Addresses[0], s.Addresses[1], s.Addresses[2], s.Addresses[3],
		s.Store, cmp.Or(s.MemoryMegabytes, defaultMemoryMegabytes), s.Revocation.Milliseconds(), int(s.StopGrace.Seconds()))
}
