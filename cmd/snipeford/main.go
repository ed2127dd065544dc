// Command snipeford runs a node of the serving layer and is its command line for
// operators. Package internal/operate/command implements its subcommands.
package main

import (
	"context"
	"os"

	"snipeford/internal/operate/command"
)

func main() { os.Exit(command.Run(context.Background())) }
