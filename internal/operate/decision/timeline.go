package decision

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"snipeford"
)

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// standardKeys are the keys that Timeline does not print as key=value.
var standardKeys = []string{"time", "level", "msg", "Node", "Request"}

// Timeline returns the lines of a request from the logs of one or more nodes,
// sorted by time, each as "time node message key=value ...". It ignores text before
// the JSON of a line, such as a VM's name, and lines without JSON.
func Timeline(logs io.Reader, id snipeford.RequestID) ([]string, error) {
	type entry struct{ time, text string }
	var entries []entry
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		start := strings.IndexByte(scanner.Text(), '{')
		if start < 0 || !strings.Contains(scanner.Text(), string(id)) {
			continue
		}
		var fields map[string]any
		if json.Unmarshal([]byte(scanner.Text()[start:]), &fields) != nil || fields["Request"] != string(id) {
			continue
		}
		time := fmt.Sprint(fields["time"])
		entries = append(entries, entry{time, strings.Join(append([]string{time, fmt.Sprint(fields["Node"]), fmt.Sprint(fields["msg"])}, formatFields(fields)...), " ")})
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read logs: %w", err)
	}
	slices.SortStableFunc(entries, func(a, b entry) int { return strings.Compare(a.time, b.time) })
	var out []string
	for _, e := range entries {
		out = append(out, e.text)
	}
	return out, nil
}

func formatFields(fields map[string]any) []string {
	var out []string
	for key, value := range fields {
		if !slices.Contains(standardKeys, key) {
			out = append(out, fmt.Sprintf("%s=%v", key, value))
		}
	}
	slices.Sort(out)
	return out
}
