// Command snipeford runs a node of the serving layer, and is the operators'
// command line. The verbs live in internal/operate/command.
package main

import (
	"context"
	"os"

	"snipeford/internal/operate/command"
)

func main() { os.Exit(command.Run(context.Background())) }
