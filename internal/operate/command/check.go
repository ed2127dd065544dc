package command

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/google/subcommands"
	"github.com/gravitational/trace"

	"snipeford/internal/operate/edge"
	"snipeford/internal/operate/settings"
	"snipeford/internal/rule/document"
	"snipeford/internal/rule/file"
	"snipeford/internal/rule/review"
	"snipeford/platform"
)

type checkVerb struct {
	settings, rules  string
	routing, inForce string
	json             bool
}

// ExitUnread is the exit code of check if a routing cannot be read, which is 2 in tools of
// this kind. It is equal to ExitUsage: in both cases nothing was checked.
const ExitUnread = ExitUsage

// checkExitHelp replaces exitHelp, since check has findings.
const checkExitHelp = "\nExit codes: 0 no findings, 1 findings, or a file of -settings or -rules that cannot be read, 2 usage, or a file of -routing or -in-force that cannot be read.\n"

func (*checkVerb) Name() string     { return "check" }
func (*checkVerb) Synopsis() string { return "check settings, rules and routing files, offline" }
func (*checkVerb) Usage() string {
	return "check [-settings FILE] [-rules FILE] [-routing FILE [-in-force FILE]] [-json]\n  Check the files and report all faults, each with the file, the line, the key, the value read and what is allowed.\n  Kinds of rules:\n    " +
		strings.Join(file.Usage(), "\n    ") + `
  A routing is the value of the platform's routing row, as JSON. Its findings have the entry, the field and a severity:
    Error    nodes refuse the routing or do not use the entry, at least in part
    Warning  nodes use the entry, but it never matches, contradicts another limit or does harm
  With -in-force, check the consequences of the change, too, and list the entries that differ. Differences are no findings, and API keys are counted but not shown.
  With -routing, -settings is a file of snipeford edge instead of snipeford serve. Its retry budget, memory, share of a core and bounds are used for the checks that need them.
  With -json, print one list with an object for each file.
  Example: snipeford check -rules examples/quindio/rules.toml
  Example: snipeford check -routing next.json -in-force config.json -settings edge.toml
` + checkExitHelp
}

func (v *checkVerb) SetFlags(f *flag.FlagSet) {
	f.StringVar(&v.settings, "settings", "", "settings file of a node (TOML)")
	f.StringVar(&v.rules, "rules", "", "rules file (TOML)")
	f.StringVar(&v.routing, "routing", "", "value of the platform's routing row (JSON)")
	f.StringVar(&v.inForce, "in-force", "", "value of the routing row that is in force, for the differences (JSON)")
	f.BoolVar(&v.json, "json", false, "print the result as JSON")
}

// fileResult is the result for one file.
type fileResult struct {
	File string
	// Error says why the file cannot be read.
	Error    string           `json:",omitempty"`
	Faults   document.Faults  `json:",omitempty"`
	Findings []review.Finding `json:",omitempty"`
	Changes  []review.Change  `json:",omitempty"`

	status subcommands.ExitStatus
}

func (v *checkVerb) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	switch {
	case v.settings == "" && v.rules == "" && v.routing == "":
		return usageError("check needs -settings FILE, -rules FILE or -routing FILE")
	case v.inForce != "" && v.routing == "":
		return usageError("check needs -routing FILE with -in-force FILE")
	}
	var results []fileResult
	var node *review.Node
	if v.settings != "" {
		var err error
		if node, err = v.checkSettings(); err != nil {
			node = nil
		}
		results = append(results, faultResult(v.settings, err))
	}
	if v.rules != "" {
		results = append(results, faultResult(v.rules, checkRules(v.rules)))
	}
	if v.routing != "" {
		results = append(results, v.checkRouting(node)...)
	}
	return v.print(results)
}

// checkSettings checks the settings file. It returns what the checks of a routing need.
func (v *checkVerb) checkSettings() (*review.Node, error) {
	if v.routing == "" {
		_, err := settings.Load(v.settings)
		return nil, err
	}
	s, _, err := settings.LoadEdge(v.settings)
	return &review.Node{
		RetryRatio: s.RetryRatio, RetrySlack: s.RetrySlack, ProcessorShare: s.ProcessorShare,
		ConfigurationBound: s.ConfigurationBound, Capacity: edge.CallerCapacity(s),
	}, err
}

func checkRules(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read rules: %w", err)
	}
	_, err = file.Parse(path, data)
	return err
}

// checkRouting checks the routing. It returns one result, and another one if the routing in
// force cannot be read.
func (v *checkVerb) checkRouting(node *review.Node) []fileResult {
	next, err := os.ReadFile(v.routing)
	if err != nil {
		return []fileResult{unreadResult(v.routing, err)}
	}
	in := review.Input{Next: platform.RowDecoder{}.RoutingDocument(next), Node: node}
	in.Enforced = edge.EnforcedLimits(in.Next.Routing.Limits)
	out := make([]fileResult, 1, 2)
	if v.inForce != "" {
		value, err := os.ReadFile(v.inForce)
		old := platform.RowDecoder{}.RoutingDocument(value)
		if err == nil {
			err = old.Refused
		}
		if err != nil {
			out = append(out, unreadResult(v.inForce, err))
		} else {
			in.InForce = &old
		}
	}
	out[0] = fileResult{File: v.routing, Findings: review.Check(in)}
	if len(out[0].Findings) > 0 {
		out[0].status = ExitFailed
	}
	if in.InForce != nil && in.Next.Refused == nil {
		out[0].Changes = review.Difference(in.InForce, &in.Next)
	}
	return out
}

func unreadResult(path string, err error) fileResult {
	return fileResult{File: path, Error: fmt.Sprintf("read routing: %v", trace.ConvertSystemError(err)), status: ExitUnread}
}

// faultResult returns the result for a settings or rules file.
func faultResult(path string, err error) fileResult {
	out := fileResult{File: path}
	if err == nil {
		return out
	}
	out.status = ExitFailed
	if !errors.As(err, &out.Faults) {
		out.Error = err.Error()
	}
	return out
}

// print prints the results and returns the highest exit code among them.
func (v *checkVerb) print(results []fileResult) subcommands.ExitStatus {
	status := ExitDone
	for _, r := range results {
		status = max(status, r.status)
		if !v.json {
			r.print()
		}
	}
	if !v.json {
		return status
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(results); err != nil {
		return fail(fmt.Errorf("print result: %w", err))
	}
	return status
}

func (r *fileResult) print() {
	switch {
	case r.Error != "":
		fmt.Fprintln(os.Stderr, r.Error)
	case len(r.Faults) > 0:
		fmt.Fprintln(os.Stderr, r.Faults)
	case len(r.Findings) == 0:
		fmt.Printf("%s: no fault\n", r.File)
	}
	for _, f := range r.Findings {
		fmt.Printf("%s: %v\n", r.File, f)
	}
	for _, c := range r.Changes {
		fmt.Printf("  %v\n", c)
	}
}
