// Package verb implements the subcommands of the standin command line, one per file.
package verb

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"snipeford/internal/control/timer"
	"snipeford/internal/emulate/fault"
)

// Commands lists the subcommands.
var Commands = []subcommands.Command{
	&tableVerb{}, &vmsVerb{}, &engineVerb{}, &serviceVerb{}, &loadVerb{}, &demoVerb{}, &benchVerb{}, &pathVerb{}, &proveVerb{}, &slopesVerb{}, &soakVerb{},
}

// Run parses the command line, runs the subcommand and returns the exit code of the
// process.
func Run(ctx context.Context) int {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	flags := flag.NewFlagSet("standin", flag.ContinueOnError)
	commander := subcommands.NewCommander(flags, "standin")
	commander.Register(commander.HelpCommand(), "")
	for _, v := range Commands {
		commander.Register(v, "")
	}
	if err := flags.Parse(os.Args[1:]); err != nil {
		return int(subcommands.ExitUsageError)
	}
	return int(commander.Execute(ctx))
}

func fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "standin:", err)
	return subcommands.ExitFailure
}

// serve serves HTTP at the address until ctx ends. The injector adds the
// faults that a test requests.
func serve(ctx context.Context, address string, t *timer.Clock, handler http.Handler) subcommands.ExitStatus {
	injector := &fault.Injector{Timer: t}
	server := &http.Server{Addr: address, Handler: injector.Wrap(handler), ReadHeaderTimeout: 10 * time.Second}
	go func() {
		<-ctx.Done()
		server.Close()
	}()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return fail(err)
	}
	return subcommands.ExitSuccess
}
