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

// longestLine bounds a line of the log, in bytes.
const longestLine = 1 << 20

// frame holds the keys that stand before the others in a story's line.
var frame = []string{"time", "level", "msg", "Node", "Request"}

// Timeline returns the lines of a request from the logs of any nodes, in the order
// of their times, each as "time node what key=value ...". Text before a line's
// JSON, such as a machine's name, is passed over; so are lines without any.
func Timeline(logs io.Reader, id snipeford.RequestID) ([]string, error) {
	type step struct{ at, text string }
	var steps []step
	lines := bufio.NewScanner(logs)
	lines.Buffer(nil, longestLine)
	for lines.Scan() {
		at := strings.IndexByte(lines.Text(), '{')
		if at < 0 || !strings.Contains(lines.Text(), string(id)) {
			continue
		}
		var fields map[string]any
		if json.Unmarshal([]byte(lines.Text()[at:]), &fields) != nil || fields["Request"] != string(id) {
			continue
		}
		when := fmt.Sprint(fields["time"])
		steps = append(steps, step{when, strings.Join(append([]string{when, fmt.Sprint(fields["Node"]), fmt.Sprint(fields["msg"])}, inputs(fields)...), " ")})
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("read logs: %w", err)
	}
	slices.SortStableFunc(steps, func(a, b step) int { return strings.Compare(a.at, b.at) })
	var out []string
	for _, s := range steps {
		out = append(out, s.text)
	}
	return out, nil
}

func inputs(fields map[string]any) []string {
	var out []string
	for key, value := range fields {
		if !slices.Contains(frame, key) {
			out = append(out, fmt.Sprintf("%s=%v", key, value))
		}
	}
	slices.Sort(out)
	return out
}
