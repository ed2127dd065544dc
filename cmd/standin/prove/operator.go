package prove

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"snipeford/cmd/standin/rig"
	"snipeford/internal/experiment/arrival"
)

var operatorScenarios = []Scenario{
	{Name: "operator-verbs", Guarantee: "each verb does what its help says and exits as documented", Fault: "good and bad input to each verb", Run: operatorVerbs},
}

// commandCase is a command line and its expected exit code and output.
type commandCase struct {
	args       string
	wantExit   int
	wantOutput string
}

func operatorVerbs(ctx context.Context, env *Environment) error {
	r := env.Client.Do(ctx, arrival.Request{Number: 1, Organisation: "CareDesk", Prompt: 1_000, MaxOutput: 16})
	if !r.Complete {
		return fmt.Errorf("request was not served: %s", r.Cause)
	}
	rules := filepath.Join(env.Plan.Directory, "rules.toml")
	text := fmt.Sprintf("[Model]\n%s = { Timeout = \"60s\", MaxOutput = 64 } # asked for by prove\n", env.Plan.Model)
	if err := os.WriteFile(rules, []byte(text), 0o644); err != nil {
		return fmt.Errorf("write rules: %w", err)
	}
	cases := []commandCase{
		{"show", 0, "[Organisation] CareDesk"},
		{"show -json", 0, `"Version":1`},
		{"status", 0, "GROUP"},
		{"status -json", 0, `"LeaseHeld":true`},
		{"apply -by prove -dry-run -rules " + rules, 0, "none made"},
		{"apply -by prove -base 7 -rules " + rules, 1, "version 1 is in force"},
		{"out -by prove -wait -domain Armenia", 0, "in force at 6 of 6 nodes"},
		{"out -by prove -wait -domain Armenia", 0, "nothing to change"},
		{"back -by prove -wait -domain Armenia", 0, "in force at 6 of 6 nodes"},
		{"out -by prove", 2, "name either a failure domain or an upstream"},
		{"apply -by prove -wait -rules " + rules, 0, "version 4"},
		{"explain " + r.RequestID, 0, "dispatched to engine-"},
		{"explain unknown", 1, "no node remembers"},
		{"explain", 2, "one request id"},
		{"drain -by prove", 0, "node leaves"},
	}
	var errs []error
	for _, c := range cases {
		errs = append(errs, env.checkCommand(ctx, c))
	}
	<-env.Exited(rig.NodeName(0))
	env.SetSummaryf("%d command lines", len(cases))
	return errors.Join(errs...)
}

func (env *Environment) checkCommand(ctx context.Context, c commandCase) error {
	args := strings.Fields(c.args)
	args = append([]string{args[0], "-node", env.Targets[0].OperatorAddress}, args[1:]...)
	command := exec.CommandContext(ctx, env.Plan.Snipeford, args...)
	command.Env = append(os.Environ(), "SNIPEFORD_OPERATOR_KEY="+rig.OperatorKey)
	var out bytes.Buffer
	command.Stdout, command.Stderr = &out, &out
	// The exit code is checked below.
	_ = command.Run()
	if got := command.ProcessState.ExitCode(); got != c.wantExit || !strings.Contains(out.String(), c.wantOutput) {
		return fmt.Errorf("snipeford %s: got exit code %d and output %q, want exit code %d and output containing %q", c.args, got, out.String(), c.wantExit, c.wantOutput)
	}
	return nil
}
