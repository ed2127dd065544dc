package settings

import (
	"os"
	"strings"
	"testing"
)

func readExample(t testing.TB) string {
	t.Helper()
	data, err := os.ReadFile("../../../examples/quindio/node.toml")
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func TestParse(t *testing.T) {
	good := readExample(t)
	for _, c := range []struct{ name, old, next, want string }{
		{"an unknown key", "LogLevel", "LogLevels", "node.toml:11: LogLevels: read an unknown key"},
		{"a host name instead of an IP address", `"127.0.0.1:8101"`, `"localhost:8101"`, `node.toml:4: CallerAddress: read "localhost:8101"; allowed: an IP address and port`},
		{"a bad duration", `"3s"`, `"3"`, `node.toml:12: LeaveDelay: read "3"`},
		{"a missing key", "Table = ", "# Table = ", "node.toml:1: Table: read nothing"},
		{"an unknown level", `"info"`, `"loud"`, `node.toml:11: LogLevel: read "loud"; allowed: debug, info, warn or error`},
		{"a short secret is not shown", `"replace-this-peer-key"`, `"secret"`, "node.toml:9: PeerKey: read a value that is not shown"},
		{"a key in a table", "LogLevel", "[Log]\nLogLevel", "node.toml:12: Log.LogLevel: read an unknown key"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("node.toml", []byte(strings.Replace(good, c.old, c.next, 1)))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v, want it to contain %q", err, c.want)
			}
			if err != nil && strings.Contains(err.Error(), `"secret"`) {
				t.Error("got a fault that contains the secret")
			}
		})
	}
	t.Run("the example has no fault and gets its defaults", func(t *testing.T) {
		s, err := Parse("node.toml", []byte(good))
		if err != nil {
			t.Fatal(err)
		}
		if got, want := s.Queue+s.Route, "FairMovingSplit"; got != want {
			t.Errorf("got policies %s, want %s", got, want)
		}
	})
}

// FuzzParse checks that no input makes the parser panic and that each fault names
// its line.
func FuzzParse(f *testing.F) {
	f.Add([]byte(readExample(f)))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := Parse("node.toml", data)
		if err != nil && !strings.HasPrefix(err.Error(), "node.toml:") {
			t.Errorf("got %q, want a fault that names its line", err)
		}
	})
}
