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

var update = flag.Bool("update", false, "write the expected outputs and the outputs in docs anew")

// asProgram is set where the test binary has to act as the program.
const asProgram = "SNIPEFORD_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
	}
	os.Exit(m.Run())
}

// run runs a command line that starts with "snipeford" in a folder and returns
// its output and exit code as the expected files hold them.
func run(t *testing.T, folder, line string) string {
	t.Helper()
	words := strings.Fields(line)
	if len(words) == 0 || words[0] != "snipeford" {
		t.Fatalf("got command %q, want one of snipeford", line)
	}
	command := exec.Command(os.Args[0], words[1:]...)
	command.Env = append(os.Environ(), asProgram+"=1")
	command.Dir = folder
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

// TestCases runs each folder of testdata: its command, its input files, and the
// expected output.
func TestCases(t *testing.T) {
	folders, err := filepath.Glob("testdata/*/command")
	if err != nil || len(folders) == 0 {
		t.Fatalf("got %d cases and error %v, want some", len(folders), err)
	}
	for _, path := range folders {
		folder := filepath.Dir(path)
		t.Run(filepath.Base(folder), func(t *testing.T) {
			line, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			got := run(t, folder, string(line))
			wantFile(t, filepath.Join(folder, "expected"), got)
		})
	}
}

func wantFile(t *testing.T, path, got string) {
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

// shown matches a command's output in a page: a comment with the command and
// the block behind it.
var shown = regexp.MustCompile("(?s)<!-- output of: ([^\n]*) -->\n```\n.*?```\n")

// TestDocs checks that the outputs shown in the pages are those of the commands.
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
			got := shown.ReplaceAllStringFunc(string(text), func(block string) string {
				line := shown.FindStringSubmatch(block)[1]
				return "<!-- output of: " + line + " -->\n```\n" + run(t, "../..", line) + "```\n"
			})
			wantFile(t, page, got)
		})
	}
}
