// Package settings reads a node's settings file. The file is TOML; unknown keys are
// faults, and all faults of a file are reported at once.
package settings

import (
	"fmt"
	"net"
	"os"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"

	"snipeford"
	"snipeford/internal/policy/queue"
	"snipeford/internal/policy/route"
	"snipeford/internal/rule/document"
)

// Settings holds the settings of a node that runs the verb serve.
type Settings struct {
	Node            snipeford.NodeID
	FailureDomain   snipeford.FailureDomain
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
	// PeerListenAddress is the address at which the node listens for peers. It
	// differs from PeerAddress if peers reach the node at another address.
	PeerListenAddress string
	Table             string
	VMList            string
	PeerKey           string
	OperatorKey       string
	TraceFile         string
	LogLevel          string
	Queue             string
	Route             string
	// LeaveDelay is how long a draining node still accepts requests until the load
	// balancer has noticed.
	LeaveDelay time.Duration
}

const (
	defaultLeaveDelay = 3 * time.Second
	minKeyBytes       = 16
)

var fields = []document.Field[Settings]{
	requiredString("Node", "a name that is unique among the nodes", func(s *Settings) *snipeford.NodeID { return &s.Node }),
	requiredString("FailureDomain", "the failure domain of the VM", func(s *Settings) *snipeford.FailureDomain { return &s.FailureDomain }),
	addressField("CallerAddress", func(s *Settings) *string { return &s.CallerAddress }),
	addressField("PeerAddress", func(s *Settings) *string { return &s.PeerAddress }),
	addressField("OperatorAddress", func(s *Settings) *string { return &s.OperatorAddress }),
	optional(addressField("PeerListenAddress", func(s *Settings) *string { return &s.PeerListenAddress })),
	urlField("Table", func(s *Settings) *string { return &s.Table }),
	urlField("VMList", func(s *Settings) *string { return &s.VMList }),
	secretField("PeerKey", func(s *Settings) *string { return &s.PeerKey }),
	secretField("OperatorKey", func(s *Settings) *string { return &s.OperatorKey }),
	traceFileField(func(s *Settings) *string { return &s.TraceFile }),
	logLevelField(func(s *Settings) *string { return &s.LogLevel }),
	{Name: "Queue", Allowed: "one of " + queue.Table.Names(), Set: func(s *Settings, v document.Value) (err error) {
		s.Queue, err = v.NonEmptyString()
		if _, bad := queue.Table.New(s.Queue); bad != nil {
			return bad
		}
		return err
	}},
	{Name: "Route", Allowed: "one of " + route.Table.Names(), Set: func(s *Settings, v document.Value) (err error) {
		s.Route, err = v.NonEmptyString()
		if _, bad := route.Table.New(s.Route); bad != nil {
			return bad
		}
		return err
	}},
	{Name: "LeaveDelay", Allowed: `a duration above 0 such as "3s"`, Set: func(s *Settings, v document.Value) (err error) {
		s.LeaveDelay, err = v.Duration()
		return err
	}},
}

// requiredString returns a field for a string that must be present.
func requiredString[T any, W ~string](name, allowed string, target func(*T) *W) document.Field[T] {
	return document.Field[T]{Name: name, Allowed: allowed, Required: true, Set: func(s *T, v document.Value) error {
		w, err := v.NonEmptyString()
		*target(s) = W(w)
		return err
	}}
}

func traceFileField[T any](target func(*T) *string) document.Field[T] {
	return document.Field[T]{Name: "TraceFile", Allowed: "the path of the file for traces", Set: func(s *T, v document.Value) (err error) {
		*target(s), err = v.NonEmptyString()
		return err
	}}
}

func logLevelField[T any](target func(*T) *string) document.Field[T] {
	return document.Field[T]{Name: "LogLevel", Allowed: "debug, info, warn or error", Set: func(s *T, v document.Value) (err error) {
		*target(s), err = v.OneOf("debug", "info", "warn", "error")
		return err
	}}
}

func addressField[T any](name string, target func(*T) *string) document.Field[T] {
	return document.Field[T]{Name: name, Allowed: `an IP address and port such as "10.0.0.7:8080"`, Required: true, Set: func(s *T, v document.Value) error {
		w, err := v.NonEmptyString()
		*target(s) = w
		host, _, bad := net.SplitHostPort(w)
		if bad != nil || net.ParseIP(host) == nil {
			return document.ErrValue
		}
		return err
	}}
}

func optional(f document.Field[Settings]) document.Field[Settings] {
	f.Required = false
	return f
}

func urlField(name string, target func(*Settings) *string) document.Field[Settings] {
	return document.Field[Settings]{Name: name, Allowed: `a URL such as "http://10.0.0.9:7000"`, Required: true, Set: func(s *Settings, v document.Value) error {
		w, err := v.NonEmptyString()
		*target(s) = w
		if len(w) < len("http://x") || w[:len("http://")] != "http://" {
			return document.ErrValue
		}
		return err
	}}
}

func secretField(name string, target func(*Settings) *string) document.Field[Settings] {
	return document.Field[Settings]{Name: name, Allowed: fmt.Sprintf("a secret of at least %d bytes", minKeyBytes), Required: true, Set: func(s *Settings, v document.Value) error {
		w, err := v.NonEmptyString()
		*target(s) = w
		if len(w) < minKeyBytes {
			return document.ErrValue
		}
		return err
	}}
}

// Parse parses settings and sets the defaults of missing keys.
func Parse(name string, data []byte) (Settings, error) {
	entries, faults := document.Parse(name, data)
	if faults == nil {
		for i, e := range entries {
			if e.Table != "" {
				entries[i].Key = e.Table + "." + e.Key
			}
		}
		var s Settings
		s, faults = document.Decode(name, 1, entries, fields)
		s.setDefaults()
		return s, redactKeys(faults).Err()
	}
	return Settings{}, faults.Err()
}

// redactKeys removes the values of keys from the faults: no key is ever printed.
func redactKeys(faults document.Faults) document.Faults {
	for i, f := range faults {
		if (f.Key == "PeerKey" || f.Key == "OperatorKey") && f.Found != "nothing" {
			faults[i].Found = "a value that is not shown"
		}
	}
	return faults
}

func (s *Settings) setDefaults() {
	if s.PeerListenAddress == "" {
		s.PeerListenAddress = s.PeerAddress
	}
	if s.LogLevel == "" {
		s.LogLevel = log.InfoLevel.String()
	}
	if s.Queue == "" {
		s.Queue = "Fair"
	}
	if s.Route == "" {
		s.Route = "MovingSplit"
	}
	if s.LeaveDelay == 0 {
		s.LeaveDelay = defaultLeaveDelay
	}
}

// Load reads a settings file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", trace.ConvertSystemError(err))
	}
	return Parse(path, data)
}
