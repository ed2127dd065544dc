// Package settings reads a node's settings file: TOML, strict, all faults in
// one run.
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

// Settings is what one process needs to know before it starts.
type Settings struct {
	Node            snipeford.NodeID
	FailureDomain   snipeford.FailureDomain
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
	// PeerListenAddress is where the node listens for peers, where that differs
	// from PeerAddress, at which they reach it.
	PeerListenAddress string
	Table             string
	VMList            string
	PeerKey           string
	OperatorKey       string
	TraceFile         string
	LogLevel          string
	Queue             string
	Route             string
	// LeaveDelay is how long a leaving node still takes requests while the
	// balancer learns of it.
	LeaveDelay time.Duration
}

const (
	defaultLeaveDelay = 3 * time.Second
	leastKey          = 16
)

var fields = []document.Field[Settings]{
	word("Node", "a name of its own for each node", func(s *Settings) *snipeford.NodeID { return &s.Node }),
	word("FailureDomain", "the failure domain that the VM stands in", func(s *Settings) *snipeford.FailureDomain { return &s.FailureDomain }),
	address("CallerAddress", func(s *Settings) *string { return &s.CallerAddress }),
	address("PeerAddress", func(s *Settings) *string { return &s.PeerAddress }),
	address("OperatorAddress", func(s *Settings) *string { return &s.OperatorAddress }),
	optional(address("PeerListenAddress", func(s *Settings) *string { return &s.PeerListenAddress })),
	service("Table", func(s *Settings) *string { return &s.Table }),
	service("VMList", func(s *Settings) *string { return &s.VMList }),
	key("PeerKey", func(s *Settings) *string { return &s.PeerKey }),
	key("OperatorKey", func(s *Settings) *string { return &s.OperatorKey }),
	traceFile(func(s *Settings) *string { return &s.TraceFile }),
	logLevel(func(s *Settings) *string { return &s.LogLevel }),
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

// word is a text that has to be there.
func word[T any, W ~string](name, allowed string, at func(*T) *W) document.Field[T] {
	return document.Field[T]{Name: name, Allowed: allowed, Required: true, Set: func(s *T, v document.Value) error {
		w, err := v.NonEmptyString()
		*at(s) = W(w)
		return err
	}}
}

func traceFile[T any](at func(*T) *string) document.Field[T] {
	return document.Field[T]{Name: "TraceFile", Allowed: "a path that traces are written to", Set: func(s *T, v document.Value) (err error) {
		*at(s), err = v.NonEmptyString()
		return err
	}}
}

func logLevel[T any](at func(*T) *string) document.Field[T] {
	return document.Field[T]{Name: "LogLevel", Allowed: "debug, info, warn or error", Set: func(s *T, v document.Value) (err error) {
		*at(s), err = v.OneOf("debug", "info", "warn", "error")
		return err
	}}
}

func address[T any](name string, at func(*T) *string) document.Field[T] {
	return document.Field[T]{Name: name, Allowed: `an IP number and port such as "10.0.0.7:8080"`, Required: true, Set: func(s *T, v document.Value) error {
		w, err := v.NonEmptyString()
		*at(s) = w
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

func service(name string, at func(*Settings) *string) document.Field[Settings] {
	return document.Field[Settings]{Name: name, Allowed: `a URL such as "http://10.0.0.9:7000"`, Required: true, Set: func(s *Settings, v document.Value) error {
		w, err := v.NonEmptyString()
		*at(s) = w
		if len(w) < len("http://x") || w[:len("http://")] != "http://" {
			return document.ErrValue
		}
		return err
	}}
}

func key(name string, at func(*Settings) *string) document.Field[Settings] {
	return document.Field[Settings]{Name: name, Allowed: fmt.Sprintf("a secret of at least %d bytes", leastKey), Required: true, Set: func(s *Settings, v document.Value) error {
		w, err := v.NonEmptyString()
		*at(s) = w
		if len(w) < leastKey {
			return document.ErrValue
		}
		return err
	}}
}

// Parse reads settings and fills what is not said.
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
		s.fill()
		return s, hide(faults).Err()
	}
	return Settings{}, faults.Err()
}

// hide takes keys out of the faults, as no key is ever printed.
func hide(faults document.Faults) document.Faults {
	for i, f := range faults {
		if (f.Key == "PeerKey" || f.Key == "OperatorKey") && f.Found != "nothing" {
			faults[i].Found = "a value that is not shown"
		}
	}
	return faults
}

func (s *Settings) fill() {
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
