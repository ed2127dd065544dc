package connection_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"snipeford"
	"snipeford/internal/control/timer"
	"snipeford/internal/upstream/connection"
)

// testCodec decodes only the request ID and NotRun.
type testCodec struct{}

func (testCodec) DecodeCall(http.Header) snipeford.CallHeader { return snipeford.CallHeader{} }

func (testCodec) EncodeAttempt(h http.Header, _ snipeford.AttemptHeader) http.Header { return h }

func (testCodec) DecodeResponse(status int, h http.Header) snipeford.ResponseHeader {
	return snipeford.ResponseHeader{RequestID: snipeford.RequestID(h.Get("Id")), NotRun: status == http.StatusMisdirectedRequest}
}

// startUpstream starts a server that calls respond for each request and returns
// its address. n is the number of the request, counted over all connections.
func startUpstream(t *testing.T, respond func(c net.Conn, r *http.Request, n int64)) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var count atomic.Int64
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serveConn(c, respond, &count)
		}
	}()
	return listener.Addr().String()
}

func serveConn(c net.Conn, respond func(net.Conn, *http.Request, int64), count *atomic.Int64) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		respond(c, r, count.Add(1))
	}
}

func responseText(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func do(t *testing.T, p *connection.Pool, address, id string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	x, err := p.Do(ctx, address, connection.Request{ID: snipeford.RequestID(id), Method: http.MethodPost, Target: "/p?q=1", Host: "h", Header: http.Header{}, Body: []byte("body")}, testCodec{})
	if err != nil {
		return "", err
	}
	defer x.Close()
	body, err := io.ReadAll(x)
	return string(body), err
}

func assertBody(t *testing.T, got string, err error, want string) {
	t.Helper()
	if err != nil || got != want {
		t.Errorf("got %q %v, want %q", got, err, want)
	}
}

func TestConnectionsAreReused(t *testing.T) {
	opened := 0
	p := &connection.Pool{Timer: &timer.Clock{}, OnOpen: func(string) { opened++ }}
	address := startUpstream(t, func(c net.Conn, r *http.Request, n int64) {
		_, _ = io.WriteString(c, responseText("r"+strconv.FormatInt(n, 10), "ok"))
	})
	for _, id := range []string{"r1", "r2", "r3"} {
		got, err := do(t, p, address, id)
		assertBody(t, got, err, "ok")
	}
	if opened != 1 {
		t.Errorf("got %d connections, want 1", opened)
	}
}

func TestResponsesToOtherRequests(t *testing.T) {
	t.Run("a late response is skipped", func(t *testing.T) {
		p := &connection.Pool{Timer: &timer.Clock{}}
		address := startUpstream(t, func(c net.Conn, _ *http.Request, n int64) {
			if n == 2 {
				_, _ = io.WriteString(c, responseText("first", "late"))
			}
			_, _ = io.WriteString(c, responseText(map[int64]string{1: "first", 2: "second"}[n], "own"))
		})
		got, err := do(t, p, address, "first")
		assertBody(t, got, err, "own")
		got, err = do(t, p, address, "second")
		assertBody(t, got, err, "own")
	})
	t.Run("an extra response closes the connection", func(t *testing.T) {
		opened := 0
		p := &connection.Pool{Timer: &timer.Clock{}, OnOpen: func(string) { opened++ }}
		address := startUpstream(t, func(c net.Conn, _ *http.Request, _ int64) {
			_, _ = io.WriteString(c, responseText("r", "own")+responseText("r", "more"))
		})
		for range 2 {
			got, err := do(t, p, address, "r")
			assertBody(t, got, err, "own")
		}
		if opened != 2 {
			t.Errorf("got %d connections, want 2", opened)
		}
	})
	t.Run("a response without a request id is rejected on a reused connection", func(t *testing.T) {
		p := &connection.Pool{Timer: &timer.Clock{}}
		address := startUpstream(t, func(c net.Conn, _ *http.Request, n int64) {
			_, _ = io.WriteString(c, responseText(map[int64]string{1: "r"}[n], "x"))
		})
		got, err := do(t, p, address, "r")
		assertBody(t, got, err, "x")
		if got, err := do(t, p, address, "s"); err == nil {
			t.Errorf("got %q, want an error", got)
		}
	})
}

// TestNoRetries checks that a request whose connection fails reaches the upstream
// only once, even on a reused connection.
func TestNoRetries(t *testing.T) {
	var seen atomic.Int64
	p := &connection.Pool{Timer: &timer.Clock{}}
	address := startUpstream(t, func(c net.Conn, _ *http.Request, n int64) {
		seen.Store(n)
		if n == 1 {
			_, _ = io.WriteString(c, responseText("r", "ok"))
			return
		}
		_ = c.Close()
	})
	got, err := do(t, p, address, "r")
	assertBody(t, got, err, "ok")
	_, err = do(t, p, address, "r")
	var e *connection.ExchangeError
	if !errors.As(err, &e) || !e.Sent {
		t.Errorf("got %v, want an error after sending", err)
	}
	if got := seen.Load(); got != 2 {
		t.Errorf("got %d requests, want 2", got)
	}
}

func TestErrorBeforeSending(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	_, err = do(t, &connection.Pool{Timer: &timer.Clock{}}, address, "r")
	var e *connection.ExchangeError
	if !errors.As(err, &e) || e.Sent {
		t.Errorf("got %v, want an error before sending", err)
	}
}

func TestTruncatedResponses(t *testing.T) {
	for name, response := range map[string]string{
		"shorter than Content-Length": "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 9\r\n\r\nhalf",
		"shorter than its chunk":      "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf",
		"not an HTTP response":        "these bytes are none\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address := startUpstream(t, func(c net.Conn, _ *http.Request, _ int64) {
				_, _ = io.WriteString(c, response)
				_ = c.Close()
			})
			if got, err := do(t, &connection.Pool{Timer: &timer.Clock{}}, address, "r"); err == nil {
				t.Errorf("got %q, want an error", got)
			}
		})
	}
}

// TestCallerDisconnects checks that the connection to the upstream is closed when
// the context is cancelled.
func TestCallerDisconnects(t *testing.T) {
	closed := make(chan struct{})
	address := startUpstream(t, func(c net.Conn, _ *http.Request, _ int64) {
		_, _ = c.Read(make([]byte, 1))
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	p := &connection.Pool{Timer: &timer.Clock{}}
	_, err := p.Do(ctx, address, connection.Request{ID: "r", Method: "GET", Target: "/", Host: "h", Header: http.Header{}}, testCodec{})
	if !errors.Is(err, context.Canceled) {
		t.Errorf("got %v, want context.Canceled", err)
	}
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("got an open connection, want it closed")
	}
}
