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

// Edge is what a node on the users' platform needs to know before it starts.
type Edge struct {
	Node          snipeford.NodeID
	FailureDomain snipeford.FailureDomain
	// CallerAddress takes callers' requests, ReadyAddress the balancer's
	// question, PeerAddress other nodes and MetricsAddress operators.
	CallerAddress  string
	ReadyAddress   string
	PeerAddress    string
	MetricsAddress string
	// Store is the address of the platform's store.
	Store     string
	LogLevel  string
	TraceFile string
	// ProcessorShare is the part of a core that the VM has.
	ProcessorShare float64
	// MemoryMegabytes bounds the process.
	MemoryMegabytes float64
	// RevocationBound is within what time a key that was taken away is refused,
	// and ConfigurationBound within what time a new routing is in force.
	RevocationBound    time.Duration
	ConfigurationBound time.Duration
	// StopGrace is how long after SIGTERM the process is killed.
	StopGrace time.Duration
	// RetryRatio, RepeatWindow and RepeatSlack bound the repeats to a service
	// over all nodes.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
}

var edgeFields = []document.Field[Edge]{
	word("Node", "a name of its own for each node", func(s *Edge) *snipeford.NodeID { return &s.Node }),
	word("FailureDomain", "the failure domain that the VM stands in", func(s *Edge) *snipeford.FailureDomain { return &s.FailureDomain }),
	address("CallerAddress", func(s *Edge) *string { return &s.CallerAddress }),
	address("ReadyAddress", func(s *Edge) *string { return &s.ReadyAddress }),
	address("PeerAddress", func(s *Edge) *string { return &s.PeerAddress }),
	address("MetricsAddress", func(s *Edge) *string { return &s.MetricsAddress }),
	address("Store", func(s *Edge) *string { return &s.Store }),
	logLevel(func(s *Edge) *string { return &s.LogLevel }),
	traceFile(func(s *Edge) *string { return &s.TraceFile }),
	edgeNumber("ProcessorShare", 0.01, func(s *Edge) *float64 { return &s.ProcessorShare }),
	edgeNumber("MemoryMegabytes", 32, func(s *Edge) *float64 { return &s.MemoryMegabytes }),
	edgeTime("RevocationMilliseconds", time.Millisecond, 1000, func(s *Edge) *time.Duration { return &s.RevocationBound }),
	edgeTime("ConfigurationMilliseconds", time.Millisecond, 500, func(s *Edge) *time.Duration { return &s.ConfigurationBound }),
	edgeTime("StopGraceSeconds", time.Second, 1, func(s *Edge) *time.Duration { return &s.StopGrace }),
	edgeNumber("RepeatRatio", 0, func(s *Edge) *float64 { return &s.RetryRatio }),
	edgeTime("RepeatWindowSeconds", time.Second, 0.1, func(s *Edge) *time.Duration { return &s.RetryWindow }),
	edgeNumber("RepeatSlack", 0, func(s *Edge) *float64 { return &s.RetrySlack }),
}

func edgeNumber(name string, least float64, at func(*Edge) *float64) document.Field[Edge] {
	return document.Field[Edge]{Name: name, Allowed: fmt.Sprintf("a number of at least %v", least), Required: true, Set: func(s *Edge, v document.Value) (err error) {
		*at(s), err = v.Number(least)
		return err
	}}
}

func edgeTime(name string, unit time.Duration, least float64, at func(*Edge) *time.Duration) document.Field[Edge] {
	return document.Field[Edge]{Name: name, Allowed: fmt.Sprintf("a number of at least %v", least), Required: true, Set: func(s *Edge, v document.Value) error {
		n, err := v.Number(least)
		*at(s) = time.Duration(n * float64(unit))
		return err
	}}
}

// ParseEdge reads the settings of a node on the users' platform.
func ParseEdge(name string, data []byte) (Edge, error) {
	entries, faults := document.Parse(name, data)
	if faults != nil {
		return Edge{}, faults.Or()
	}
	s, faults := document.Read(name, 1, entries, edgeFields)
	if s.LogLevel == "" {
		s.LogLevel = log.InfoLevel.String()
	}
	return s, faults.Or()
}

// LoadEdge reads a settings file.
func LoadEdge(path string) (Edge, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Edge{}, fmt.Errorf("read settings: %w", trace.ConvertSystemError(err))
	}
	return ParseEdge(path, data)
}
