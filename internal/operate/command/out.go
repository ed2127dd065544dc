package command

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"snipeford/internal/fleet/message"
)

// outVerb implements the verbs out and back.
type outVerb struct {
	nodeFlags
	out                  bool
	domain, upstream, by string
	wait                 bool
}

func (v *outVerb) Name() string {
	if v.out {
		return "out"
	}
	return "back"
}

func (v *outVerb) Synopsis() string {
	if v.out {
		return "take a failure domain or an upstream out of service"
	}
	return "put a failure domain or an upstream back into service; it starts cold"
}

func (v *outVerb) Usage() string {
	name := v.Name()
	return name + " -domain NAME | -upstream NAME [-by NAME] [-wait]\n  " + v.Synopsis() +
		".\n  New requests stop or start within 3 s; running requests continue.\n  Example: snipeford " + name + " -domain Armenia -by operations -wait\n" + exitHelp
}

func (v *outVerb) SetFlags(f *flag.FlagSet) {
	v.setFlags(f)
	f.StringVar(&v.domain, "domain", "", "failure domain")
	f.StringVar(&v.upstream, "upstream", "", "upstream")
	f.StringVar(&v.by, "by", "", "name of the author of the change (default: the environment variable USER)")
	f.BoolVar(&v.wait, "wait", false, "wait up to 10 s until the change is in force at all nodes, and list the nodes where it is not")
}

func (v *outVerb) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	api, err := v.api()
	if err != nil {
		return fail(err)
	}
	reply, err := api.SetOut(ctx, &message.OutRequest{Domain: v.domain, Upstream: v.upstream, Out: v.out, By: author(v.by), Wait: v.wait})
	if err != nil {
		return fail(err)
	}
	return printChange(os.Stdout, reply)
}
