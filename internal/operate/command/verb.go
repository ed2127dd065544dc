// Package command implements the verbs of the snipeford command line, one per file.
// Each verb has a name, a synopsis, a usage text with an example, flags and an
// Execute method.
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

// exitHelp is appended to the usage text of each verb.
const exitHelp = "\nExit codes: 0 done, 1 failed, 2 usage, 3 not known whether done.\n"

// Verbs lists all verbs of the command line.
var Verbs = []subcommands.Command{
	&serveVerb{}, &checkVerb{}, &applyVerb{}, &showVerb{}, &statusVerb{},
	&edgeVerb{}, &outVerb{out: true}, &outVerb{out: false}, &drainVerb{}, &explainVerb{},
}

// Run parses the arguments of the process and runs the verb. It returns the exit
// code of the process.
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

// nodeFlags holds the flags of the verbs that call a running node.
type nodeFlags struct {
	node    string
	keyFile string
}

func (n *nodeFlags) setFlags(f *flag.FlagSet) {
	f.StringVar(&n.node, "node", "127.0.0.1:8301", "operator address of any node")
	f.StringVar(&n.keyFile, "key-file", "", "file with the operators' key (default: the environment variable SNIPEFORD_OPERATOR_KEY)")
}

// callTimeout limits a call to a node. A change may wait until it is in force.
const callTimeout = 30 * time.Second

func (n *nodeFlags) api() (message.Administration, error) {
	key := os.Getenv("SNIPEFORD_OPERATOR_KEY")
	if n.keyFile != "" {
		raw, err := os.ReadFile(n.keyFile)
		if err != nil {
			return nil, fmt.Errorf("read operators' key: %w", err)
		}
		key = trimNewlines(string(raw))
	}
	client := administration.AuthenticatedClient{Client: &http.Client{Timeout: callTimeout}, Header: administration.KeyHeader, Key: key}
	return message.NewAdministrationProtobufClient("http://"+n.node, client), nil
}

func trimNewlines(s string) string {
	for len(s) > 0 && (s[len(s)-1] == '\n' || s[len(s)-1] == '\r') {
		s = s[:len(s)-1]
	}
	return s
}

// author returns the author of a change: the flag, or the environment variable USER.
func author(by string) string {
	if by != "" {
		return by
	}
	return os.Getenv("USER")
}

// fail prints an error and returns its exit code. If no connection to the node could
// be opened, the node did not receive the call, so the code is ExitFailed even if the
// API's error code alone would mean ExitUnknown.
func fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "snipeford:", err)
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return ExitFailed
	}
	var remote twirp.Error
	if errors.As(err, &remote) {
		return exitCode(remote.Code())
	}
	return ExitFailed
}

func exitCode(code twirp.ErrorCode) subcommands.ExitStatus {
	switch code {
	case twirp.Unknown, twirp.DeadlineExceeded, twirp.Internal:
		return ExitUnknown
	case twirp.InvalidArgument:
		return ExitUsage
	}
	return ExitFailed
}

// usageError prints an error in the arguments of a verb.
func usageError(text string) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "snipeford:", text)
	return ExitUsage
}

// printChange prints a change and the nodes where it is not in force.
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
