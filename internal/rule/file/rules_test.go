package file

import (
	"os"
	"strings"
	"testing"
)

const keyHash = "0000000000000000000000000000000000000000000000000000000000000000"

const validOrganisation = `Care = { KeySHA256 = "` + keyHash + `", TokensPerSecond = 1000, RequestsPerSecond = 1, Concurrent = 1, LongestPrompt = 1000 }`

func TestParse(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       []string
	}{
		{"a rule without a comment", "[Organisation]\n" + validOrganisation, []string{"rules.toml:2: Care: read no comment"}},
		{"an unknown table", "[Customer]\nCare = { A = 1 } # me", []string{"rules.toml:2: Care: read a rule in table [Customer]; allowed: tables [Organisation], [Model], [Service]"}},
		{"an unknown key", "[Model]\nM = { Timeout = \"1s\", MaxOutput = 1, Speed = 3 } # me", []string{"rules.toml:2: Speed: read an unknown key"}},
		{"a bad unit", "[Model]\nM = { Timeout = \"1 hour\", MaxOutput = 1 } # me", []string{`rules.toml:2: Timeout: read "1 hour"; allowed: a duration above 0`}},
		{"an impossible value", "[Model]\nM = { Timeout = \"1s\", MaxOutput = -1 } # me", []string{"rules.toml:2: MaxOutput: read -1"}},
		{"a missing key", "[Model]\nM = { Timeout = \"1s\" } # me", []string{"rules.toml:2: MaxOutput: read nothing"}},
		{"all faults in one run", "[Model]\nM = { Timeout = 3 }\nN = { MaxOutput = 0 }", []string{"rules.toml:2: M: read no comment", "rules.toml:2: Timeout: read 3", "rules.toml:3: MaxOutput: read 0"}},
		{"two organisations with one key", "[Organisation]\n" + validOrganisation + " # me\nOther" + validOrganisation[len("Care"):] + " # me", []string{"rules.toml:3: KeySHA256: read the key of Care"}},
		{"invalid TOML", "[Model\n", []string{"rules.toml:1: TOML"}},
		{"an invalid call", "[Service]\nS = { Timeout = \"1s\", Once = [\"dispatch\"] } # me", []string{"rules.toml:2: Once"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("rules.toml", []byte(c.text))
			wantLines(t, err, c.want)
		})
	}
	t.Run("the comment is kept as RequestedBy", func(t *testing.T) {
		rules, err := Parse("rules.toml", []byte("[Organisation]\n"+validOrganisation+" # asked for by the care desk"))
		if err != nil {
			t.Fatal(err)
		}
		if got, want := rules.Organisations["Care"].RequestedBy, "asked for by the care desk"; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	})
	t.Run("the examples have no fault", func(t *testing.T) {
		for _, path := range []string{"../../../examples/quindio/rules.toml", "../../../examples/uwimana/rules.toml"} {
			data, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := Parse(path, data); err != nil {
				t.Error(err)
			}
		}
	})
}

func wantLines(t *testing.T, err error, want []string) {
	t.Helper()
	if err == nil {
		t.Fatalf("got no fault, want %q", want)
	}
	for _, line := range want {
		if !strings.Contains(err.Error(), line) {
			t.Errorf("got %q, want it to contain %q", err, line)
		}
	}
}

func TestDifference(t *testing.T) {
	old, _ := Parse("a", []byte("[Model]\nA = { Timeout = \"1s\", MaxOutput = 1 } # me\nB = { Timeout = \"1s\", MaxOutput = 1 } # me"))
	next, _ := Parse("b", []byte("[Model]\nB = { Timeout = \"2s\", MaxOutput = 1 } # me\nC = { Timeout = \"1s\", MaxOutput = 1 } # me"))
	got := strings.Join(Difference(old, next), "\n")
	if want := "- [Model] A\n~ [Model] B\n+ [Model] C"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// FuzzParse checks that the parser does not panic and that the error starts with
// the file name.
func FuzzParse(f *testing.F) {
	f.Add([]byte("[Organisation]\n" + validOrganisation + " # me"))
	f.Add([]byte("[Service]\nS = { Timeout = \"1s\", Once = [\"POST /x\"] } # me"))
	f.Add([]byte("a.b = [1, {c = 2}]\n[[x]]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := Parse("rules.toml", data)
		if err != nil && !strings.HasPrefix(err.Error(), "rules.toml:") {
			t.Errorf("got %q, want an error that starts with the file name", err)
		}
	})
}
