package main

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the expected outputs in testdata and the outputs shown in docs")

// runMainVariable is an environment variable. If it is set, the test binary runs
// main instead of the tests.
const runMainVariable = "SNIPEFORD_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runMainVariable) != "" {
		main()
	}
	os.Exit(m.Run())
}

// runCommand runs a command line that starts with "snipeford" in a directory. It
// returns the output and a nonzero exit code in the format of the expected files.
func runCommand(t *testing.T, dir, commandLine string) string {
	t.Helper()
	words := strings.Fields(commandLine)
	if len(words) == 0 || words[0] != "snipeford" {
		t.Fatalf("command line is %q, want it to start with snipeford", commandLine)
	}
	command := exec.Command(os.Args[0], words[1:]...)
	command.Env = append(os.Environ(), runMainVariable+"=1")
	command.Dir = dir
	var out bytes.Buffer
	command.Stdout, command.Stderr = &out, &out
	err := command.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	text := strings.ReplaceAll(out.String(), filepath.Base(os.Args[0]), "snipeford")
	if code := command.ProcessState.ExitCode(); code != 0 {
		text += fmt.Sprintf("exit code %d\n", code)
	}
	return text
}

// TestCommandOutput runs the command in each directory of testdata on the input
// files there and compares its output with the expected one.
func TestCommandOutput(t *testing.T) {
	commandFiles, err := filepath.Glob("testdata/*/command")
	if err != nil || len(commandFiles) == 0 {
		t.Fatalf("got %d cases and error %v, want some", len(commandFiles), err)
	}
	for _, path := range commandFiles {
		dir := filepath.Dir(path)
		t.Run(filepath.Base(dir), func(t *testing.T) {
			commandLine, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			got := runCommand(t, dir, string(commandLine))
			compareWithFile(t, filepath.Join(dir, "expected"), got)
		})
	}
}

func compareWithFile(t *testing.T, path, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}

// outputBlock matches the output of a command in a page: a comment with the command
// line, followed by a code block.
var outputBlock = regexp.MustCompile("(?s)<!-- output of: ([^\n]*) -->\n```\n.*?```\n")

// TestDocs checks that the pages show the current output of the commands.
func TestDocs(t *testing.T) {
	pages, err := filepath.Glob("../../docs/*.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, page := range append(pages, "../../README.md") {
		t.Run(filepath.Base(page), func(t *testing.T) {
			text, err := os.ReadFile(page)
			if err != nil {
				t.Fatal(err)
			}
			got := outputBlock.ReplaceAllStringFunc(string(text), func(block string) string {
				commandLine := outputBlock.FindStringSubmatch(block)[1]
				return "<!-- output of: " + commandLine + " -->\n```\n" + runCommand(t, "../..", commandLine) + "```\n"
			})
			compareWithFile(t, page, got)
		})
	}
}
