// Command standin emulates the platform and the upstreams for tests, generates
// load, and runs the experiments and fault tests. Package verb implements its
// subcommands.
package main

import (
	"context"
	"os"

	"snipeford/cmd/standin/verb"
)

func main() { os.Exit(verb.Run(context.Background())) }
