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

var operatorScenes = []Scene{
	{Name: "operator-verbs", Promise: "each verb does what its help says and exits as documented", Fault: "good and bad input to each verb", Run: operatorVerbs},
}

// verbCase is one command line and what has to come back.
type verbCase struct {
	line string
	exit int
	says string
}

func operatorVerbs(ctx context.Context, s *Stage) error {
	r := s.Client.Do(ctx, arrival.Request{Number: 1, Organisation: "CareDesk", Prompt: 1_000, MaxOutput: 16})
	if !r.Complete {
		return fmt.Errorf("request was not served: %s", r.Cause)
	}
	rules := filepath.Join(s.Plan.Directory, "rules.toml")
	text := fmt.Sprintf("[Model]\n%s = { Timeout = \"60s\", MaxOutput = 64 } # asked for by prove\n", s.Plan.Model)
	if err := os.WriteFile(rules, []byte(text), 0o644); err != nil {
		return fmt.Errorf("write rules: %w", err)
	}
	cases := []verbCase{
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
	var faults []error
	for _, c := range cases {
		faults = append(faults, s.wantVerb(ctx, c))
	}
	<-s.Ended(rig.NodeName(0))
	s.Notef("%d command lines", len(cases))
	return errors.Join(faults...)
}

func (s *Stage) wantVerb(ctx context.Context, c verbCase) error {
	words := strings.Fields(c.line)
	words = append([]string{words[0], "-node", s.Targets[0].OperatorAddress}, words[1:]...)
	command := exec.CommandContext(ctx, s.Plan.Snipeford, words...)
	command.Env = append(os.Environ(), "SNIPEFORD_OPERATOR_KEY="+rig.OperatorKey)
	var out bytes.Buffer
	command.Stdout, command.Stderr = &out, &out
	// The exit code is compared below.
	_ = command.Run()
	if got := command.ProcessState.ExitCode(); got != c.exit || !strings.Contains(out.String(), c.says) {
		return fmt.Errorf("snipeford %s: got exit %d and %q, want exit %d and %q", c.line, got, out.String(), c.exit, c.says)
	}
	return nil
}
