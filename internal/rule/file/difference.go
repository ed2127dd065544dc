package file

import (
	"fmt"
	"reflect"
	"sort"

	"snipeford"
)

// Difference returns a line for each rule that was added, removed or changed,
// grouped by table and sorted by name.
func Difference(old, next snipeford.Rules) []string {
	var out []string
	out = append(out, difference("Organisation", old.Organisations, next.Organisations)...)
	out = append(out, difference("Model", old.Models, next.Models)...)
	out = append(out, difference("Service", old.Services, next.Services)...)
	return out
}

func difference[K ~string, R any](table string, old, next map[K]R) []string {
	var out []string
	for name, nextRule := range next {
		oldRule, ok := old[name]
		switch {
		case !ok:
			out = append(out, fmt.Sprintf("+ [%s] %s", table, name))
		case !reflect.DeepEqual(oldRule, nextRule):
			out = append(out, fmt.Sprintf("~ [%s] %s", table, name))
		}
	}
	for name := range old {
		if _, ok := next[name]; !ok {
			out = append(out, fmt.Sprintf("- [%s] %s", table, name))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i][2:] < out[j][2:] })
	return out
}
