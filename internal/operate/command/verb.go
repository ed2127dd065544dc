// Package command holds the verbs of the snipeford command line, one a file,
// all of one shape: name, synopsis, usage with an example, flags, execution.
package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/google/subcommands"
	"github.com/twitchtv/twirp"

	"snipeford/internal/fleet/message"
	"snipeford/internal/operate/administration"
)

// Exit codes of all verbs.
const (
	ExitDone    = subcommands.ExitSuccess
	ExitFailed  = subcommands.ExitFailure
	ExitUsage   = subcommands.ExitUsageError
	ExitUnknown = subcommands.ExitStatus(3)
)

// exitHelp stands below each verb's usage.
const exitHelp = "\nExit codes: 0 done, 1 failed, 2 usage, 3 not known whether done.\n"

// Verbs lists the verbs.
var Verbs = []subcommands.Command{
	&serveVerb{}, &checkVerb{}, &applyVerb{}, &showVerb{}, &statusVerb{},
	&edgeVerb{}, &outVerb{out: true}, &outVerb{out: false}, &drainVerb{}, &explainVerb{},
}

// Run parses the process's arguments and runs the verb. The result is the
// process's exit code.
func Run(ctx context.Context) int {
	top := flag.NewFlagSet("snipeford", flag.ContinueOnError)
	commander := subcommands.NewCommander(top, "snipeford")
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	for _, verb := range Verbs {
		commander.Register(verb, "")
	}
	if err := top.Parse(os.Args[1:]); err != nil {
		return int(ExitUsage)
	}
	return int(commander.Execute(ctx))
}

// operator holds the flags of the verbs that ask a running node.
type operator struct {
	node    string
	keyFile string
}

func (o *operator) setFlags(f *flag.FlagSet) {
	f.StringVar(&o.node, "node", "127.0.0.1:8301", "operators' address of any node")
	f.StringVar(&o.keyFile, "key-file", "", "file with the operators' key; without it the variable SNIPEFORD_OPERATOR_KEY")
}

// callTimeout bounds one call of a node; a change waits until it is in force.
const callTimeout = 30 * time.Second

func (o *operator) api() (message.Administration, error) {
	key := os.Getenv("SNIPEFORD_OPERATOR_KEY")
	if o.keyFile != "" {
		raw, err := os.ReadFile(o.keyFile)
		if err != nil {
			return nil, fmt.Errorf("read operators' key: %w", err)
		}
		key = trimLine(string(raw))
	}
	client := administration.AuthenticatedClient{Client: &http.Client{Timeout: callTimeout}, Header: administration.KeyHeader, Key: key}
	return message.NewAdministrationProtobufClient("http://"+o.node, client), nil
}

func trimLine(s string) string {
	for len(s) > 0 && (s[len(s)-1] == '\n' || s[len(s)-1] == '\r') {
		s = s[:len(s)-1]
	}
	return s
}

// author returns who makes a change: the flag, or the user's name.
func author(by string) string {
	if by != "" {
		return by
	}
	return os.Getenv("USER")
}

// fail prints an error and returns the exit code that says what it means.
func fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "snipeford:", err)
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return ExitFailed
	}
	var remote twirp.Error
	if errors.As(err, &remote) {
		return exitOf(remote.Code())
	}
	return ExitFailed
}

func exitOf(code twirp.ErrorCode) subcommands.ExitStatus {
	switch code {
	case twirp.Unknown, twirp.DeadlineExceeded, twirp.Internal:
		return ExitUnknown
	case twirp.InvalidArgument:
		return ExitUsage
	}
	return ExitFailed
}

// usageFault prints what is wrong with a verb's arguments.
func usageFault(text string) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "snipeford:", text)
	return ExitUsage
}

// printChange prints a change and where it is in force.
func printChange(w io.Writer, r *message.ChangeReply) subcommands.ExitStatus {
	for _, line := range r.GetChanges() {
		fmt.Fprintln(w, line)
	}
	if len(r.GetChanges()) == 0 {
		fmt.Fprintf(w, "nothing to change; version %d stays\n", r.GetVersion())
		return ExitDone
	}
	fmt.Fprintf(w, "version %d\n", r.GetVersion())
	behind := 0
	for _, n := range r.GetNodes() {
		if n.GetVersion() < r.GetVersion() {
			behind++
			fmt.Fprintf(w, "not in force at %s (version %d) %s\n", n.GetNode(), n.GetVersion(), n.GetError())
		}
	}
	fmt.Fprintf(w, "in force at %d of %d nodes\n", len(r.GetNodes())-behind, len(r.GetNodes()))
	return ExitDone
}
