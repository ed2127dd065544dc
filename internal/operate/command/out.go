package command

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"snipeford/internal/fleet/message"
)

// outVerb is both out and back.
type outVerb struct {
	operator
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
		return "take a failure domain or an upstream out"
	}
	return "bring a failure domain or an upstream back; it starts cold"
}

func (v *outVerb) Usage() string {
	name := v.Name()
	return name + " -domain NAME | -upstream NAME [-by NAME] [-wait]\n  " + v.Synopsis() +
		".\n  New work stops or starts within 3 s; running requests go on.\n  Example: snipeford " + name + " -domain Armenia -by operations -wait\n" + exitHelp
}

func (v *outVerb) SetFlags(f *flag.FlagSet) {
	v.setFlags(f)
	f.StringVar(&v.domain, "domain", "", "failure domain")
	f.StringVar(&v.upstream, "upstream", "", "upstream")
	f.StringVar(&v.by, "by", "", "who makes the change; without it the variable USER")
	f.BoolVar(&v.wait, "wait", false, "wait up to 10 s until it is in force everywhere, and list where it is not")
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
