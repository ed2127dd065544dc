package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

var cases = map[string]func(*world) (int, error){
	"storm":    storm,
	"hang":     stormKill,
	"drill":    drill,
	"tenants":  lastOrganisation,
	"settings": settingsChange,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER PROGRAM")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, folder, program string) int {
	program, err := filepath.Abs(program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	w, err := newWorld(folder, program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ended
		w.line("ended by a signal")
		w.close()
		os.Exit(2)
	}()
	w.line("case %s, trouble: %t", name, w.trouble)
	result, err := cases[name](w)
	if err != nil {
		w.line("case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
	}
	w.line("exit status %d", result)
	return result
}
