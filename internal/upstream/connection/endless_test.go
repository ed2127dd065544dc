package connection_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"snipeford/internal/control/timer"
	"snipeford/internal/upstream/connection"
)

// TestEndlessHead guards against upstreams that send bytes without end where a
// status line and header are due. A node must not read them until its memory is
// used up.
func TestEndlessHead(t *testing.T) {
	const piece = 16 << 10
	for name, text := range map[string]struct{ start, repeat string }{
		"no status line":          {"", strings.Repeat("x", piece)},
		"status line":             {"HTTP/1.1 200 ", strings.Repeat("x", piece)},
		"header value":            {"HTTP/1.1 200 OK\r\nA: ", strings.Repeat("x", piece)},
		"headers":                 {"HTTP/1.1 200 OK\r\n", strings.Repeat("A: b\r\n", piece/6)},
		"informational responses": {"", strings.Repeat("HTTP/1.1 103 Early\r\nA: b\r\n\r\n", piece/28)},
	} {
		t.Run(name, func(t *testing.T) {
			sent := make(chan int, 1)
			address := startUpstream(t, func(c net.Conn, _ *http.Request, _ int64) {
				sent <- writeUntilClosed(c, text.start, text.repeat)
			})
			begin := time.Now()
			if got, err := do(t, &connection.Pool{Timer: &timer.Clock{}}, address, "r"); !errors.Is(err, connection.ErrNoResponse) {
				t.Errorf("got %q %v, want %v", got, err, connection.ErrNoResponse)
			}
			if took := time.Since(begin); took > 2*time.Second {
				t.Errorf("got the error after %v, want it once the limit is reached", took)
			}
			<-sent
		})
	}
}

// writeUntilClosed repeats a text until the peer closes the connection, and returns
// how often.
func writeUntilClosed(c net.Conn, start, repeat string) int {
	if _, err := io.WriteString(c, start); err != nil {
		return 0
	}
	for n := 0; ; n++ {
		if _, err := io.WriteString(c, repeat); err != nil {
			return n
		}
	}
}

// TestEndlessSkippedBody guards against an endless response to an earlier request.
func TestEndlessSkippedBody(t *testing.T) {
	const piece = 16 << 10
	for name, text := range map[string]struct{ start, repeat string }{
		"without a length":    {"HTTP/1.1 200 OK\r\nId: other\r\n\r\n", strings.Repeat("x", piece)},
		"with a large length": {"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1000000000000\r\n\r\n", strings.Repeat("x", piece)},
		"in chunks":           {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "4000\r\n" + strings.Repeat("x", piece) + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address := startUpstream(t, func(c net.Conn, _ *http.Request, _ int64) { writeUntilClosed(c, text.start, text.repeat) })
			begin := time.Now()
			got, err := do(t, &connection.Pool{Timer: &timer.Clock{}}, address, "r")
			assertFast(t, begin)
			if !errors.Is(err, connection.ErrRequestMismatch) || strings.Contains(err.Error(), "%!") {
				t.Errorf("got %q %v, want %v with a readable cause", got, err, connection.ErrRequestMismatch)
			}
		})
	}
}

// TestSecondCopyOfEarlierAttempt guards against a late second copy of the response
// to an attempt, on the connection that carries the next attempt of the same
// request. Its request id cannot tell the two apart.
func TestSecondCopyOfEarlierAttempt(t *testing.T) {
	p := &connection.Pool{Timer: &timer.Clock{}}
	address := startUpstream(t, func(c net.Conn, _ *http.Request, n int64) {
		if n == 2 {
			_, _ = io.WriteString(c, responseText("r", "old"))
		}
		_, _ = io.WriteString(c, responseText("r", map[int64]string{1: "old", 2: "new"}[n]))
	})
	opened := 0
	p.OnOpen = func(string) { opened++ }
	for range 2 {
		if _, err := do(t, p, address, "r"); err != nil {
			t.Fatal(err)
		}
	}
	if opened != 2 {
		t.Errorf("got %d connections for two attempts of one request, want 2", opened)
	}
}
