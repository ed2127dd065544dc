// Command trial runs the cases of the second review: nodes as separate processes, with
// stand-ins for the platform's store, the replicas and the clients.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// errBroken means that the rule of a case was broken.
var errBroken = errors.New("rule broken")

// trial is one case. With trouble it causes the disruption.
type trial func(f *fleet, trouble bool) error

var trials = map[string]trial{"bodies": bodies, "endless": endless, "homes": homes, "options": options, "paths": paths}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || trials[os.Args[1]] == nil {
		fmt.Println("usage: trial CASE PROGRAM RECORD")
		return 2
	}
	r, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Println(err)
		return 2
	}
	f, err := newFleet(os.Args[2], r)
	if err != nil {
		r.note("could not run: %v", err)
		return 2
	}
	defer f.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stopped
		r.note("could not run: stopped")
		f.close()
		os.Exit(2)
	}()
	err = trials[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
	switch {
	case errors.Is(err, errBroken):
		r.note("BROKEN: %v", err)
		return 1
	case err != nil:
		r.note("could not run: %v", err)
		return 2
	}
	r.note("held")
	return 0
}
