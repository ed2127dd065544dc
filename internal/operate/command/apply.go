package command

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"snipeford/internal/fleet/message"
	"snipeford/internal/rule/file"
)

type applyVerb struct {
	nodeFlags
	rules, by string
	base      uint64
	dryRun    bool
	wait      bool
}

func (*applyVerb) Name() string     { return "apply" }
func (*applyVerb) Synopsis() string { return "put a rules file into force" }
func (*applyVerb) Usage() string {
	return "apply -rules FILE [-by NAME] [-base VERSION] [-dry-run] [-wait]\n  Commit the rules as the next version and notify all nodes. With -base, fail if the newest version is another one.\n  Example: snipeford apply -rules examples/quindio/rules.toml -by care-desk -wait\n" + exitHelp
}

func (v *applyVerb) SetFlags(f *flag.FlagSet) {
	v.setFlags(f)
	f.StringVar(&v.rules, "rules", "", "rules file (TOML)")
	f.StringVar(&v.by, "by", "", "name of the author of the change (default: the environment variable USER)")
	f.Uint64Var(&v.base, "base", 0, "version that the change is based on; 0 means the newest version")
	f.BoolVar(&v.dryRun, "dry-run", false, "print the changes without making them")
	f.BoolVar(&v.wait, "wait", false, "wait up to 10 s until the version is in force at all nodes, and list the nodes where it is not")
}

func (v *applyVerb) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if v.rules == "" {
		return usageError("apply needs -rules FILE")
	}
	data, err := os.ReadFile(v.rules)
	if err != nil {
		return fail(fmt.Errorf("read rules: %w", err))
	}
	if _, err := file.Parse(v.rules, data); err != nil {
		return fail(err)
	}
	api, err := v.api()
	if err != nil {
		return fail(err)
	}
	reply, err := api.Apply(ctx, &message.ApplyRequest{RulesToml: string(data), By: author(v.by), BaseVersion: v.base, DryRun: v.dryRun, Wait: v.wait})
	if err != nil {
		return fail(err)
	}
	if v.dryRun {
		for _, line := range reply.GetChanges() {
			fmt.Println(line)
		}
		fmt.Printf("%d changes to version %d, none made\n", len(reply.GetChanges()), reply.GetVersion())
		return ExitDone
	}
	return printChange(os.Stdout, reply)
}
