package decision_test

import (
	"strings"
	"testing"

	"snipeford/internal/operate/decision"
)

func TestTimeline(t *testing.T) {
	logs := `  2.1 n2 {"time":"T2","msg":"refused","Node":"n2","Request":"r1","Status":503}
no JSON r1
{"time":"T1","msg":"placed","Node":"n1","Request":"r1","By":"n3","Try":1}
{"time":"T3","msg":"placed","Node":"n1","Request":"r2","Why":"not r1"}
{"broken r1
`
	got, err := decision.Timeline(strings.NewReader(logs), "r1")
	if err != nil {
		t.Fatal(err)
	}
	want := "T1 n1 placed By=n3 Try=1\nT2 n2 refused Status=503"
	if strings.Join(got, "\n") != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
