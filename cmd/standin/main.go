// Command standin runs the small stand-ins that take the platform's place in
// tests, and the load and experiment tool. The verbs live in package verb.
package main

import (
	"context"
	"os"

	"snipeford/cmd/standin/verb"
)

func main() { os.Exit(verb.Run(context.Background())) }
