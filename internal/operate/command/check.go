package command

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/google/subcommands"

	"snipeford/internal/operate/settings"
	"snipeford/internal/rule/file"
)

type checkVerb struct{ settings, rules string }

func (*checkVerb) Name() string     { return "check" }
func (*checkVerb) Synopsis() string { return "check settings and rules files, offline" }
func (*checkVerb) Usage() string {
	return "check [-settings FILE] [-rules FILE]\n  Check the files and report all faults, each with the file, the line, the key, the value read and what is allowed.\n  Kinds of rules:\n    " +
		strings.Join(file.Usage(), "\n    ") +
		"\n  Example: snipeford check -rules examples/quindio/rules.toml\n" + exitHelp
}

func (v *checkVerb) SetFlags(f *flag.FlagSet) {
	f.StringVar(&v.settings, "settings", "", "settings file of a node (TOML)")
	f.StringVar(&v.rules, "rules", "", "rules file (TOML)")
}

func (v *checkVerb) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if v.settings == "" && v.rules == "" {
		return usageError("check needs -settings FILE or -rules FILE")
	}
	status := ExitDone
	if v.settings != "" {
		_, err := settings.Load(v.settings)
		status = max(status, printResult(v.settings, err))
	}
	if v.rules != "" {
		status = max(status, printResult(v.rules, checkRules(v.rules)))
	}
	return status
}

func checkRules(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read rules: %w", err)
	}
	_, err = file.Parse(path, data)
	return err
}

func printResult(path string, err error) subcommands.ExitStatus {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitFailed
	}
	fmt.Printf("%s: no fault\n", path)
	return ExitDone
}
