package connection_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"snipeford"
	"snipeford/internal/control/timer"
	"snipeford/internal/upstream/connection"
)

// respondThen returns a handler that sends text and then ends the connection.
func respondThen(text string, end func(net.Conn)) func(net.Conn, *http.Request, int64) {
	return func(c net.Conn, _ *http.Request, _ int64) {
		_, _ = io.WriteString(c, text)
		end(c)
	}
}

// sendFIN ends the response and keeps the connection open for requests.
func sendFIN(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() }

// sendRST resets the connection once what was sent has been read.
func sendRST(c net.Conn) {
	time.Sleep(20 * time.Millisecond)
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func keepOpen(net.Conn) {}

// openCounter returns a pool and the number of connections that it has opened.
func openCounter() (*connection.Pool, *int) {
	opened := 0
	return &connection.Pool{Timer: &timer.Clock{}, OnOpen: func(string) { opened++ }}, &opened
}

func assertOpened(t *testing.T, got *int, want int) {
	t.Helper()
	if *got != want {
		t.Errorf("got %d connections, want %d", *got, want)
	}
}

// assertFast checks that what began at begin did not wait for a deadline.
func assertFast(t *testing.T, begin time.Time) {
	t.Helper()
	if took := time.Since(begin); took > time.Second {
		t.Errorf("got the result after %v, want it at once", took)
	}
}

// TestUnframedResponse guards against responses that end with their connection and
// are taken for incomplete, and against requests on such a connection, which is to
// be closed as soon as the response has ended.
func TestUnframedResponse(t *testing.T) {
	for name, test := range map[string]struct{ head, body string }{
		"no Connection header": {"HTTP/1.1 200 OK\r\n", "whole"},
		"Connection: close":    {"HTTP/1.1 200 OK\r\nConnection: close\r\n", "whole"},
		"a stated idle time":   {"HTTP/1.1 200 OK\r\nConnection: keep-alive\r\nKeep-Alive: timeout=9\r\n", "whole"},
		"HTTP/1.0":             {"HTTP/1.0 200 OK\r\n", "whole"},
		"HTTP/1.0, kept alive": {"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n", "whole"},
		"empty body":           {"HTTP/1.1 200 OK\r\n", ""},
		"a long body":          {"HTTP/1.1 200 OK\r\n", strings.Repeat("0123456789", 50_000)},
		"a failure":            {"HTTP/1.1 500 Failed\r\n", "failed"},
		"a response as a body": {"HTTP/1.1 200 OK\r\n", responseText("r", "more")},
	} {
		t.Run(name, func(t *testing.T) {
			p, opened := openCounter()
			closed := make(chan time.Time, 2)
			address := startUpstream(t, func(c net.Conn, _ *http.Request, n int64) {
				_, _ = io.WriteString(c, test.head+"Id: r"+strconv.FormatInt(n, 10)+"\r\n\r\n"+test.body)
				sendFIN(c)
				_, _ = c.Read(make([]byte, 1))
				closed <- time.Now()
			})
			for _, id := range []string{"r1", "r2"} {
				got, err := do(t, p, address, id)
				assertBody(t, got, err, test.body)
				assertClosed(t, closed, time.Now())
			}
			assertOpened(t, opened, 2)
		})
	}
}

// assertClosed checks that the upstream sees its connection closed within half a
// second of begin.
func assertClosed(t *testing.T, closed <-chan time.Time, begin time.Time) {
	t.Helper()
	select {
	case at := <-closed:
		if got := at.Sub(begin); got > 500*time.Millisecond {
			t.Errorf("got the connection closed after %v, want it within 500 ms", got)
		}
	case <-time.After(5 * time.Second):
		t.Error("got an open connection, want it closed")
	}
}

// TestBrokenUnframedResponse guards against a partial response that is taken for a
// complete one, because nothing but the end of its connection ends it.
func TestBrokenUnframedResponse(t *testing.T) {
	const half = "HTTP/1.1 200 OK\r\nId: r\r\n\r\nhalf"
	t.Run("reset", func(t *testing.T) {
		address := startUpstream(t, respondThen(half, sendRST))
		if got, err := do(t, &connection.Pool{Timer: &timer.Clock{}}, address, "r"); err == nil {
			t.Errorf("got %q as complete, want an error", got)
		}
	})
	t.Run("reset in an empty body", func(t *testing.T) {
		address := startUpstream(t, respondThen(strings.TrimSuffix(half, "half"), sendRST))
		if got, err := do(t, &connection.Pool{Timer: &timer.Clock{}}, address, "r"); err == nil {
			t.Errorf("got %q as complete, want an error", got)
		}
	})
	t.Run("silent until the context ends", func(t *testing.T) {
		address := startUpstream(t, respondThen(half, keepOpen))
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		x, err := (&connection.Pool{Timer: &timer.Clock{}}).Do(ctx, address, connection.Request{ID: "r", Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}}, testCodec{})
		if err != nil {
			t.Fatal(err)
		}
		defer x.Close()
		if got, err := io.ReadAll(x); err == nil {
			t.Errorf("got %q as complete, want an error", got)
		}
	})
}

// TestTruncatedHead guards against a head that is cut off and taken for that of a
// response with an empty body.
func TestTruncatedHead(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: r\r\nA: b\r\n\r\n"
	for name, end := range map[string]func(net.Conn){"FIN": sendFIN, "RST": sendRST} {
		t.Run(name, func(t *testing.T) {
			for n := range len(head) {
				address := startUpstream(t, respondThen(head[:n], end))
				got, err := do(t, &connection.Pool{Timer: &timer.Clock{}}, address, "r")
				if !errors.Is(err, connection.ErrNoResponse) {
					t.Errorf("%q: got %q %v, want %v", head[:n], got, err, connection.ErrNoResponse)
				}
			}
		})
	}
}

// TestStatusWithoutBody guards against connections that are closed after responses
// that never have a body, and against waiting for their bodies.
func TestStatusWithoutBody(t *testing.T) {
	for _, status := range []string{"204 No Content", "304 Not Modified"} {
		t.Run(status, func(t *testing.T) {
			p, opened := openCounter()
			address := startUpstream(t, func(c net.Conn, _ *http.Request, n int64) {
				_, _ = io.WriteString(c, "HTTP/1.1 "+status+"\r\nId: "+map[int64]string{1: "r1", 2: "r2"}[n]+"\r\n\r\n")
			})
			begin := time.Now()
			for _, id := range []string{"r1", "r2"} {
				got, err := do(t, p, address, id)
				assertBody(t, got, err, "")
			}
			assertOpened(t, opened, 1)
			assertFast(t, begin)
		})
	}
}

// TestResponseToHead guards against waiting for the body of a response to HEAD,
// which has none whatever its header says.
func TestResponseToHead(t *testing.T) {
	for name, header := range map[string]string{"no length": "", "a length": "Content-Length: 5\r\n", "chunks": "Transfer-Encoding: chunked\r\n"} {
		t.Run(name, func(t *testing.T) {
			address := startUpstream(t, respondThen("HTTP/1.1 200 OK\r\nId: r\r\n"+header+"\r\n", keepOpen))
			begin := time.Now()
			x, err := (&connection.Pool{Timer: &timer.Clock{}}).Do(context.Background(), address, connection.Request{ID: "r", Method: http.MethodHead, Target: "/", Host: "h", Header: http.Header{}}, testCodec{})
			if err != nil {
				t.Fatal(err)
			}
			defer x.Close()
			got, err := io.ReadAll(x)
			assertBody(t, string(got), err, "")
			assertFast(t, begin)
		})
	}
}

// TestLateUnframedResponse guards against requests that wait for the end of a
// response to an earlier request. A response that ends with its connection is
// followed by no other, so nothing is gained by reading it.
func TestLateUnframedResponse(t *testing.T) {
	for name, late := range map[string]string{
		"silent":                     "HTTP/1.1 200 OK\r\nId: first\r\n\r\nlate",
		"with the response after it": "HTTP/1.1 200 OK\r\nId: first\r\n\r\nlate" + responseText("second", "own"),
		"HTTP/1.0":                   "HTTP/1.0 200 OK\r\nId: first\r\n\r\nlate",
	} {
		t.Run(name, func(t *testing.T) {
			p, opened := openCounter()
			address := startUpstream(t, func(c net.Conn, _ *http.Request, n int64) {
				_, _ = io.WriteString(c, map[int64]string{1: responseText("first", "own"), 2: late, 3: responseText("third", "own")}[n])
			})
			got, err := do(t, p, address, "first")
			assertBody(t, got, err, "own")
			begin := time.Now()
			var e *connection.ExchangeError
			if got, err := do(t, p, address, "second"); !errors.Is(err, connection.ErrRequestMismatch) || !errors.As(err, &e) || !e.Sent {
				t.Errorf("got %q %v, want %v after sending", got, err, connection.ErrRequestMismatch)
			}
			assertFast(t, begin)
			got, err = do(t, p, address, "third")
			assertBody(t, got, err, "own")
			assertOpened(t, opened, 2)
		})
	}
}

// TestUnframedResponseAfterOthers guards against a response that is lost or joined
// with another because a late one comes before it on a reused connection.
func TestUnframedResponseAfterOthers(t *testing.T) {
	const unframed = "HTTP/1.1 200 OK\r\nId: second\r\n\r\nown"
	t.Run("a late response", func(t *testing.T) {
		p, opened := openCounter()
		address := startUpstream(t, func(c net.Conn, _ *http.Request, n int64) {
			if n == 2 {
				respondThen(responseText("first", "late")+unframed, sendFIN)(c, nil, n)
				return
			}
			_, _ = io.WriteString(c, responseText(map[int64]string{1: "first", 3: "third"}[n], "own"))
		})
		for _, id := range []string{"first", "second", "third"} {
			got, err := do(t, p, address, id)
			assertBody(t, got, err, "own")
		}
		assertOpened(t, opened, 2)
	})
	t.Run("bytes that are no response", func(t *testing.T) {
		p, opened := openCounter()
		address := startUpstream(t, func(c net.Conn, _ *http.Request, n int64) {
			if n == 2 {
				respondThen("extra bytes\r\n\r\n"+unframed, sendFIN)(c, nil, n)
				return
			}
			_, _ = io.WriteString(c, responseText(map[int64]string{1: "first", 3: "third"}[n], "own"))
		})
		got, err := do(t, p, address, "first")
		assertBody(t, got, err, "own")
		if got, err := do(t, p, address, "second"); !errors.Is(err, connection.ErrNoResponse) {
			t.Errorf("got %q %v, want %v", got, err, connection.ErrNoResponse)
		}
		got, err = do(t, p, address, "third")
		assertBody(t, got, err, "own")
		assertOpened(t, opened, 2)
	})
	t.Run("bytes while no request is pending", func(t *testing.T) {
		p, opened := openCounter()
		address := startUpstream(t, func(c net.Conn, _ *http.Request, n int64) {
			if n == 2 {
				respondThen(unframed, sendFIN)(c, nil, n)
				return
			}
			_, _ = io.WriteString(c, responseText("first", "own"))
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: second\r\n\r\nforged")
		})
		got, err := do(t, p, address, "first")
		assertBody(t, got, err, "own")
		time.Sleep(60 * time.Millisecond)
		got, err = do(t, p, address, "second")
		assertBody(t, got, err, "own")
		assertOpened(t, opened, 2)
	})
}

// TestCallerLeavesUnframedResponse guards against upstreams that work on after the
// caller has left.
func TestCallerLeavesUnframedResponse(t *testing.T) {
	closed := make(chan time.Time, 1)
	address := startUpstream(t, func(c net.Conn, _ *http.Request, _ int64) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: r\r\n\r\nhalf")
		_, _ = c.Read(make([]byte, 1))
		closed <- time.Now()
	})
	ctx, cancel := context.WithCancel(context.Background())
	x, err := (&connection.Pool{Timer: &timer.Clock{}}).Do(ctx, address, connection.Request{ID: snipeford.RequestID("r"), Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}}, testCodec{})
	if err != nil {
		t.Fatal(err)
	}
	defer x.Close()
	left := time.Now()
	cancel()
	assertClosed(t, closed, left)
	if t.Failed() {
		return
	}
	if got, err := io.ReadAll(x); err == nil {
		t.Errorf("got %q as complete, want an error", got)
	}
}
