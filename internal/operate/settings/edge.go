package settings

import (
	"fmt"
	"os"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"

	"snipeford"
	"snipeford/internal/rule/document"
)

// Edge holds the settings of a node on the users' platform.
type Edge struct {
	Node          snipeford.NodeID
	FailureDomain snipeford.FailureDomain
	// CallerAddress is the listener for callers, ReadyAddress for the load
	// balancer's readiness probes, PeerAddress for other nodes and MetricsAddress for
	// operators.
	CallerAddress  string
	ReadyAddress   string
	PeerAddress    string
	MetricsAddress string
	// Store is the address of the users' platform's store.
	Store     string
	LogLevel  string
	TraceFile string
	// ProcessorShare is the fraction of a processor core that the VM has.
	ProcessorShare float64
	// MemoryMegabytes is the memory of the VM. The bytes that connections hold, and the soft
	// limit of the Go runtime, follow it.
	MemoryMegabytes float64
	// RevocationBound is the maximum time until a revoked API key is refused, and
	// ConfigurationBound the maximum time until a new routing is in force.
	RevocationBound    time.Duration
	ConfigurationBound time.Duration
	// LeaveBound is the maximum time from the record of the store that an upstream leaves
	// until it gets no more requests.
	LeaveBound time.Duration
	// FirstStart is set while all nodes start for the first time: the store has not come back
	// from a copy then, and lacks nothing.
	FirstStart bool
	// StopGrace is the time between SIGTERM and the kill of the process.
	StopGrace time.Duration
	// RetryRatio, RetryWindow and RetrySlack limit the retries to a service, summed
	// over all nodes. Their keys in the file begin with Repeat.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
}

var edgeFields = []document.Field[Edge]{
	requiredString("Node", "a name that is unique among the nodes", func(s *Edge) *snipeford.NodeID { return &s.Node }),
	requiredString("FailureDomain", "the failure domain of the VM", func(s *Edge) *snipeford.FailureDomain { return &s.FailureDomain }),
	addressField("CallerAddress", func(s *Edge) *string { return &s.CallerAddress }),
	addressField("ReadyAddress", func(s *Edge) *string { return &s.ReadyAddress }),
	addressField("PeerAddress", func(s *Edge) *string { return &s.PeerAddress }),
	addressField("MetricsAddress", func(s *Edge) *string { return &s.MetricsAddress }),
	addressField("Store", func(s *Edge) *string { return &s.Store }),
	logLevelField(func(s *Edge) *string { return &s.LogLevel }),
	traceFileField(func(s *Edge) *string { return &s.TraceFile }),
	edgeNumberField("ProcessorShare", 0.01, func(s *Edge) *float64 { return &s.ProcessorShare }),
	edgeNumberField("MemoryMegabytes", 32, func(s *Edge) *float64 { return &s.MemoryMegabytes }),
	edgeDurationField("RevocationMilliseconds", time.Millisecond, 1000, func(s *Edge) *time.Duration { return &s.RevocationBound }),
	edgeDurationField("ConfigurationMilliseconds", time.Millisecond, 500, func(s *Edge) *time.Duration { return &s.ConfigurationBound }),
	optionalDurationField("LeaveMilliseconds", time.Millisecond, 500, func(s *Edge) *time.Duration { return &s.LeaveBound }),
	edgeDurationField("StopGraceSeconds", time.Second, 1, func(s *Edge) *time.Duration { return &s.StopGrace }),
	edgeNumberField("RepeatRatio", 0, func(s *Edge) *float64 { return &s.RetryRatio }),
	edgeDurationField("RepeatWindowSeconds", time.Second, 0.1, func(s *Edge) *time.Duration { return &s.RetryWindow }),
	firstStartField,
	edgeNumberField("RepeatSlack", 0, func(s *Edge) *float64 { return &s.RetrySlack }),
}

func edgeNumberField(name string, minimum float64, target func(*Edge) *float64) document.Field[Edge] {
	return document.Field[Edge]{Name: name, Allowed: fmt.Sprintf("a number of at least %v", minimum), Required: true, Set: func(s *Edge, v document.Value) (err error) {
		*target(s), err = v.Number(minimum)
		return err
	}}
}

func edgeDurationField(name string, unit time.Duration, minimum float64, target func(*Edge) *time.Duration) document.Field[Edge] {
	return document.Field[Edge]{Name: name, Allowed: fmt.Sprintf("a number of at least %v", minimum), Required: true, Set: func(s *Edge, v document.Value) error {
		n, err := v.Number(minimum)
		*target(s) = time.Duration(n * float64(unit))
		return err
	}}
}

// firstStartField is set by a text, since values of other kinds have no accessor.
var firstStartField = document.Field[Edge]{Name: "FirstStart", Allowed: `"true" or "false"`, Set: func(s *Edge, v document.Value) error {
	text, err := v.OneOf("true", "false")
	s.FirstStart = text == "true"
	return err
}}

// optionalDurationField is an edgeDurationField that may be missing.
func optionalDurationField(name string, unit time.Duration, minimum float64, target func(*Edge) *time.Duration) document.Field[Edge] {
	f := edgeDurationField(name, unit, minimum, target)
	f.Required = false
	return f
}

// DefaultLeaveBound is the lowest leave bound of the deployments so far.
const DefaultLeaveBound = 2 * time.Second

// ParseEdge parses the settings of a node on the users' platform.
func ParseEdge(name string, data []byte) (Edge, error) {
	entries, faults := document.Parse(name, data)
	if faults != nil {
		return Edge{}, faults.Err()
	}
	s, faults := document.Decode(name, 1, entries, edgeFields)
	if s.LogLevel == "" {
		s.LogLevel = log.InfoLevel.String()
	}
	if s.LeaveBound == 0 {
		s.LeaveBound = DefaultLeaveBound
	}
	return s, faults.Err()
}

// LoadEdge reads a settings file. It also returns the content of the file.
func LoadEdge(path string) (Edge, []byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Edge{}, nil, fmt.Errorf("read settings: %w", trace.ConvertSystemError(err))
	}
	s, err := ParseEdge(path, data)
	return s, data, err
}
