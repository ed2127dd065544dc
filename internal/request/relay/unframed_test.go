package relay_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// respondUnframed returns a handler whose signed response has neither a length nor
// chunks. It sends the pieces one by one and then ends the connection.
func respondUnframed(end func(net.Conn, *http.Request), pieces ...string) func(net.Conn, *http.Request) {
	return respondUnframedHead("HTTP/1.1 200 OK\r\nSeal: x\r\n", end, pieces...)
}

// respondUnframedHead is respondUnframed with a status line and headers.
func respondUnframedHead(head string, end func(net.Conn, *http.Request), pieces ...string) func(net.Conn, *http.Request) {
	return func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "%sId: %s\r\n\r\n", head, r.Header.Get("Id"))
		for _, piece := range pieces {
			if _, err := io.WriteString(c, piece); err != nil {
				return
			}
		}
		end(c, r)
	}
}

// resetConn resets the connection once what was sent has been read.
func resetConn(c net.Conn, _ *http.Request) {
	time.Sleep(50 * time.Millisecond)
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// waitForCaller keeps the response open until the relay closes the connection.
func waitForCaller(c net.Conn, _ *http.Request) { _, _ = c.Read(make([]byte, 1)) }

// assertTook checks that what began at begin took at most limit.
func assertTook(t *testing.T, begin time.Time, limit time.Duration) {
	t.Helper()
	if took := time.Since(begin); took > limit {
		t.Errorf("got the result after %v, want it within %v", took, limit)
	}
}

// assertBroken checks that the caller got a response that is visibly incomplete.
func assertBroken(t *testing.T, got result, body string) {
	t.Helper()
	if got.err == nil || got.body != body {
		t.Errorf("got %d %q %v, want %q and an error", got.status, got.body, got.err, body)
	}
}

// TestUnframedPlainResponse guards against responses that end with their connection
// and are not passed on whole.
func TestUnframedPlainResponse(t *testing.T) {
	long := strings.Repeat("0123456789", 20_000)
	for name, test := range map[string]struct{ head, body string }{
		"no Connection header": {"HTTP/1.1 200 OK\r\nSeal: x\r\n", "whole"},
		"Connection: close":    {"HTTP/1.1 200 OK\r\nSeal: x\r\nConnection: close\r\n", "whole"},
		"HTTP/1.0":             {"HTTP/1.0 200 OK\r\nSeal: x\r\n", "whole"},
		"empty body":           {"HTTP/1.1 200 OK\r\nSeal: x\r\n", ""},
		"long body":            {"HTTP/1.1 200 OK\r\nSeal: x\r\n", long},
	} {
		t.Run(name, func(t *testing.T) {
			for _, path := range []string{"/safe/x", "/unsafe/x"} {
				h := newHarness(t, respondUnframedHead(test.head, closeConn, test.body), respondOK("second"))
				got := h.call(t, http.MethodPost, path)
				assertResponse(t, got, 200, test.body)
				if got.header.Get("Seal") == "" || got.body != test.body {
					t.Errorf("got %q with header %v, want the whole signed body", got.body, got.header)
				}
				assertRequestCount(t, h, 1)
			}
		})
	}
	t.Run("a failure is passed on whole", func(t *testing.T) {
		h := newHarness(t, respondUnframedHead("HTTP/1.1 500 X\r\nSeal: x\r\n", closeConn, "failed"))
		assertResponse(t, h.call(t, http.MethodPost, "/unsafe/x"), 500, "failed")
	})
}

// TestBrokenUnframedPlainResponse guards against partial responses that are passed
// on, because only the end of the connection ends them.
func TestBrokenUnframedPlainResponse(t *testing.T) {
	for name, broken := range map[string]func(net.Conn, *http.Request){
		"reset":                  respondUnframed(resetConn, "half"),
		"reset in an empty body": respondUnframed(resetConn),
		"reset with HTTP/1.0":    respondUnframedHead("HTTP/1.0 200 OK\r\nSeal: x\r\n", resetConn, "half"),
		"reset in a failure":     respondUnframedHead("HTTP/1.1 500 X\r\nSeal: x\r\n", resetConn, "half"),
		"endless":                respondUnframed(writeWithoutEnd(strings.Repeat("x", 16<<10))),
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, broken, respondOK("second"))
			assertResponse(t, h.call(t, http.MethodPost, "/safe/x"), 200, "second")
			assertRequestCount(t, h, 2)
			h = newHarness(t, broken, respondOK("second"))
			assertResponse(t, h.call(t, http.MethodPost, "/unsafe/x"), 502, "")
			assertRequestCount(t, h, 1)
		})
	}
	for _, path := range []string{"/safe/x", "/unsafe/x"} {
		t.Run("silent until the deadline of "+path, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, respondUnframed(waitForCaller, "half"), respondOK("second"))
			begin := time.Now()
			assertResponse(t, h.call(t, http.MethodPost, path), 504, "")
			assertTook(t, begin, 2500*time.Millisecond)
		})
	}
}

// TestEndlessUnframedPlainResponse guards against a body that fills the memory until
// the deadline.
func TestEndlessUnframedPlainResponse(t *testing.T) {
	const maxSent = 64 << 20
	sent := make(chan int, 1)
	h := newHarness(t, respondUnframed(func(c net.Conn, _ *http.Request) {
		n, piece := 0, strings.Repeat("x", 64<<10)
		for n <= maxSent {
			if _, err := io.WriteString(c, piece); err != nil {
				break
			}
			n += len(piece)
		}
		sent <- n
	}))
	assertResponse(t, h.call(t, http.MethodPost, "/unsafe/x"), 502, "")
	if got := <-sent; got > maxSent {
		t.Errorf("got %d bytes or more read, want the connection closed before", got)
	}
}

// writeWithoutEnd returns a handler that repeats a text until the relay closes the
// connection.
func writeWithoutEnd(text string) func(net.Conn, *http.Request) {
	return func(c net.Conn, _ *http.Request) {
		for {
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
		}
	}
}

// TestUnneededUnframedBody guards against requests that are held until their
// deadline by the body of a response that is never passed on.
func TestUnneededUnframedBody(t *testing.T) {
	for name, head := range map[string]string{
		"unsigned success":             "HTTP/1.1 200 OK\r\n",
		"not run":                      "HTTP/1.1 503 X\r\nNot-Run: 1\r\n",
		"not run, HTTP/1.0":            "HTTP/1.0 503 X\r\nNot-Run: 1\r\n",
		"503 that does not say so":     "HTTP/1.1 503 X\r\nSeal: x\r\n",
		"success without end":          "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n",
		"unsigned success, in chunks":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n",
		"unsigned success, with close": "HTTP/1.1 200 OK\r\nConnection: close\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, respondUnframedHead(head, waitForCaller), respondOK("second"))
			begin := time.Now()
			assertResponse(t, h.call(t, http.MethodPost, "/safe/x"), 200, "second")
			assertTook(t, begin, time.Second)
		})
	}
	t.Run("an unsafe request", func(t *testing.T) {
		h := newHarness(t, respondUnframedHead("HTTP/1.1 503 X\r\nNot-Run: 1\r\n", waitForCaller), respondOK("second"))
		begin := time.Now()
		assertResponse(t, h.call(t, http.MethodPost, "/unsafe/x"), 200, "second")
		h = newHarness(t, respondUnframedHead("HTTP/1.1 200 OK\r\n", waitForCaller), respondOK("second"))
		assertResponse(t, h.call(t, http.MethodPost, "/unsafe/x"), 502, "")
		assertRequestCount(t, h, 1)
		assertTook(t, begin, time.Second)
	})
}

// TestStatusWithoutBody guards against responses without a body that are taken for
// unframed ones.
func TestStatusWithoutBody(t *testing.T) {
	for _, status := range []int{204, 304} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			h := newHarness(t, respondUnframedHead(fmt.Sprintf("HTTP/1.1 %d X\r\nSeal: x\r\n", status), waitForCaller))
			begin := time.Now()
			assertResponse(t, h.call(t, http.MethodPost, "/unsafe/x"), status, "")
			assertTook(t, begin, time.Second)
		})
	}
	for name, header := range map[string]string{"HEAD": "", "HEAD with a length": "Content-Length: 5\r\n"} {
		t.Run(name, func(t *testing.T) {
			for _, path := range []string{"/unsafe/x", "/once/x"} {
				h := newHarness(t, respondUnframedHead("HTTP/1.1 200 OK\r\nSeal: x\r\n"+header, waitForCaller))
				begin := time.Now()
				assertResponse(t, h.call(t, http.MethodHead, path), 200, "")
				assertTook(t, begin, time.Second)
			}
		})
	}
}

// TestUnframedStream guards against streams that end with their connection and are
// taken for broken ones, or are changed on the way.
func TestUnframedStream(t *testing.T) {
	var bytewise []string
	for _, b := range []byte(eventText(1, 3)) {
		bytewise = append(bytewise, string(b))
	}
	for name, pieces := range map[string][]string{
		"events":                 {eventText(1, 5)},
		"split over many reads":  bytewise,
		"CRLF":                   {"id: 1\r\ndata: 1\r\n\r\nid: 2\r\ndata: 2\r\n\r\n"},
		"comments":               {": open\n\n", eventText(1, 1), ": still\n\n", eventText(2, 2)},
		"retry lines":            {"retry: 1000\n\n", "id: 1\nretry: 10\ndata: 1\n\n"},
		"a leading version line": {"x-version: 3\nid: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"},
		"several data lines":     {"id: 1\nevent: token\ndata: a\ndata: b\ndata\n\n"},
		"an event of 100 KiB":    {"id: 1\ndata: " + strings.Repeat("x", 100<<10) + "\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			for _, head := range []string{"HTTP/1.1 200 OK\r\nSeal: x\r\n", "HTTP/1.0 200 OK\r\nSeal: x\r\nConnection: close\r\n"} {
				for _, path := range []string{"/once/x", "/resumable/x"} {
					h := newHarness(t, respondUnframedHead(head, closeConn, pieces...), streamEvents(1, 9, true))
					assertResponse(t, h.call(t, http.MethodPost, path), 200, strings.Join(pieces, ""))
					assertRequestCount(t, h, 1)
				}
			}
		})
	}
}

// TestBrokenUnframedStream guards against a stream that ends inside an event and is
// taken for a complete one.
func TestBrokenUnframedStream(t *testing.T) {
	whole := eventText(1, 3)
	for name, partial := range map[string]string{
		"in the name of a field":      "i",
		"in the id":                   "id: 4",
		"after the id":                "id: 4\n",
		"in the data":                 "id: 4\ndata: 4",
		"before the empty line":       "id: 4\ndata: 4\n",
		"before the empty line, CRLF": "id: 4\r\ndata: 4\r\n",
		"in the empty line, CRLF":     "id: 4\r\ndata: 4\r\n\r",
		"in a comment":                ": still",
		"after a comment":             ": still\n",
		"after a version line":        "x-version: 3\n",
		"after a retry line":          "retry: 1000\n",
	} {
		t.Run(name, func(t *testing.T) {
			broken := respondUnframed(closeConn, whole, partial)
			assertResumedAfter3(t, broken)
			h := newHarness(t, broken, streamEvents(4, 6, true))
			assertBroken(t, h.call(t, http.MethodPost, "/once/x"), whole)
			assertRequestCount(t, h, 1)
		})
	}
	t.Run("reset after the last event", func(t *testing.T) {
		broken := respondUnframed(resetConn, whole)
		assertResumedAfter3(t, broken)
		h := newHarness(t, broken, streamEvents(4, 6, true))
		assertBroken(t, h.call(t, http.MethodPost, "/once/x"), whole)
		h = newHarness(t, broken, respondUnframed(closeConn))
		assertResponse(t, h.call(t, http.MethodPost, "/resumable/x"), 200, whole)
	})
	t.Run("at each upstream", func(t *testing.T) {
		h := newHarness(t, respondUnframed(closeConn, whole, "id: 4"), respondUnframed(closeConn, eventText(4, 5), "id: 6"), streamEvents(6, 9, true))
		assertBroken(t, h.call(t, http.MethodPost, "/resumable/x"), eventText(1, 5))
	})
	t.Run("in its first event", func(t *testing.T) {
		assertNothingReceived(t, respondUnframed(closeConn, "id: 1\ndata: 1\n"))
	})
}

// assertResumedAfter3 checks that a stream that breaks after its third event goes on
// at the next upstream, whether that repeats events or not.
func assertResumedAfter3(t *testing.T, broken func(net.Conn, *http.Request)) {
	t.Helper()
	for _, first := range []int{2, 4} {
		h := newHarness(t, broken, respondUnframed(closeConn, eventText(first, 6)))
		assertResponse(t, h.call(t, http.MethodPost, "/resumable/x"), 200, eventText(1, 6))
		if got, want := h.upstreams.requestCount(), 2; got != want {
			t.Errorf("got %d requests, want %d", got, want)
			continue
		}
		if got := h.upstreams.requests[1].Header.Get("Last"); got != "3" {
			t.Errorf("got last event %q, want 3", got)
		}
	}
}

// assertNothingReceived checks that a stream that breaks before its first event is
// retried if it may be, and is not passed on as a success otherwise.
func assertNothingReceived(t *testing.T, broken func(net.Conn, *http.Request)) {
	t.Helper()
	h := newHarness(t, broken, streamEvents(1, 3, true))
	assertResponse(t, h.call(t, http.MethodPost, "/resumable/x"), 200, eventText(1, 3))
	h = newHarness(t, broken, streamEvents(1, 3, true))
	assertResponse(t, h.call(t, http.MethodPost, "/once/x"), 502, "")
	assertRequestCount(t, h, 1)
}

// TestUnframedStreamWithoutEvents guards against an upstream that fails right after
// its header, and whose stream is passed on as a complete one without events.
func TestUnframedStreamWithoutEvents(t *testing.T) {
	assertNothingReceived(t, respondUnframed(closeConn))
	t.Run("HTTP/1.0", func(t *testing.T) {
		assertNothingReceived(t, respondUnframedHead("HTTP/1.0 200 OK\r\nSeal: x\r\n", closeConn))
	})
	t.Run("reset", func(t *testing.T) { assertNothingReceived(t, respondUnframed(resetConn)) })
	t.Run("only a comment", func(t *testing.T) {
		h := newHarness(t, respondUnframed(closeConn, ": open\n\n"), streamEvents(1, 3, true))
		assertResponse(t, h.call(t, http.MethodPost, "/resumable/x"), 200, ": open\n\n"+eventText(1, 3))
		h = newHarness(t, respondUnframed(closeConn, ": open\n\n"), streamEvents(1, 3, true))
		assertBroken(t, h.call(t, http.MethodPost, "/once/x"), ": open\n\n")
	})
	t.Run("nothing is left to send", func(t *testing.T) {
		h := newHarness(t, respondUnframed(closeConn), streamEvents(8, 9, true))
		assertResponse(t, h.call(t, http.MethodPost, "/resumable/x", "Last", "7"), 200, "")
		assertRequestCount(t, h, 1)
	})
	for name, broken := range map[string]func(net.Conn, *http.Request){
		"an event is left": respondUnframed(closeConn, eventText(1, 3), "id: 4\n"), "an event is left after a reset": respondUnframed(resetConn, eventText(1, 3), "id: 4\n"),
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, broken, respondUnframed(closeConn), streamEvents(4, 6, true))
			assertBroken(t, h.call(t, http.MethodPost, "/resumable/x"), eventText(1, 3))
			assertRequestCount(t, h, 2)
		})
	}
	t.Run("an empty stream with a length", func(t *testing.T) {
		h := newHarness(t, respondOK(""), streamEvents(1, 3, true))
		assertResponse(t, h.call(t, http.MethodPost, "/once/x"), 200, "")
		assertRequestCount(t, h, 1)
	})
}

// TestStalledUnframedStream guards against a stream that never ends because nothing
// more arrives, not even the end of its connection.
func TestStalledUnframedStream(t *testing.T) {
	for name, pieces := range map[string][]string{"after its header": nil, "between events": {eventText(1, 3)}, "inside an event": {eventText(1, 3), "id: 4\nda"}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, respondUnframed(waitForCaller, pieces...), streamEvents(1, 6, true))
			begin := time.Now()
			assertResponse(t, h.call(t, http.MethodPost, "/quick/x"), 200, eventText(1, 6))
			assertTook(t, begin, 4*time.Second)
			h = newHarness(t, respondUnframed(waitForCaller, pieces...))
			if got := h.call(t, http.MethodPost, "/once/x"); got.err == nil && got.status == 200 {
				t.Errorf("got %q as a complete response, want an error", got.body)
			}
		})
	}
}

// TestEndlessUnframedStream guards against bytes without end that are no events.
func TestEndlessUnframedStream(t *testing.T) {
	for name, text := range map[string]string{
		"one line": strings.Repeat("x", 16<<10), "lines": strings.Repeat("data: x\n", 2<<10), "zeros": strings.Repeat("\x00", 16<<10),
	} {
		t.Run(name, func(t *testing.T) {
			broken := respondUnframed(writeWithoutEnd(text), eventText(1, 3))
			begin := time.Now()
			assertResumedAfter3(t, broken)
			h := newHarness(t, broken)
			assertBroken(t, h.call(t, http.MethodPost, "/once/x"), eventText(1, 3))
			assertTook(t, begin, 2*time.Second)
		})
	}
}

// TestStreamWithOtherBytes guards against bytes that are no event, such as another
// response, and are passed on because an empty line ends them.
func TestStreamWithOtherBytes(t *testing.T) {
	late := "HTTP/1.1 200 OK\r\nId: r0\r\nSeal: x\r\nContent-Length: 0\r\n\r\n"
	for name, broken := range map[string]func(net.Conn, *http.Request){
		"a response to another request": respondUnframed(closeConn, eventText(1, 3), late),
		"lines without end":             respondUnframed(writeWithoutEnd("x\n\n"), eventText(1, 3)),
		"in chunks": func(c net.Conn, r *http.Request) {
			writeStreamHead(c, r)
			writeChunk(c, eventText(1, 3)+"x\n\n")
			fmt.Fprint(c, "0\r\n\r\n")
		},
	} {
		t.Run(name, func(t *testing.T) {
			begin := time.Now()
			assertResumedAfter3(t, broken)
			h := newHarness(t, broken, streamEvents(4, 6, true))
			assertBroken(t, h.call(t, http.MethodPost, "/once/x"), eventText(1, 3))
			assertTook(t, begin, time.Second)
		})
	}
}

// keptCall sends a request over a connection that is kept, and returns the response
// and its body.
func keptCall(t *testing.T, c net.Conn, reader *bufio.Reader, path string) (*http.Response, string, error) {
	t.Helper()
	if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: 127.0.0.1\r\nId: r1\r\nContent-Length: 4\r\n\r\nbody", path); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

func dialRelay(t *testing.T, h *harness) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp4", strings.TrimPrefix(h.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return c, bufio.NewReader(c)
}

// TestCallerKeepsConnection guards against headers of the upstream's connection that
// end the caller's, and against a response to the caller without framing.
func TestCallerKeepsConnection(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nSeal: x\r\nConnection: close\r\nKeep-Alive: timeout=1\r\n"
	for path, body := range map[string]string{"/unsafe/x": strings.Repeat("x", 5000), "/safe/x": "", "/once/x": eventText(1, 4), "/resumable/x": eventText(1, 500)} {
		t.Run(path, func(t *testing.T) {
			h := newHarness(t, respondUnframedHead(head, closeConn, body))
			c, reader := dialRelay(t, h)
			for range 3 {
				resp, got, err := keptCall(t, c, reader, path)
				if err != nil || got != body {
					t.Fatalf("got %q %v, want %q", got, err, body)
				}
				if resp.Close || resp.Header.Get("Connection") != "" || resp.Header.Get("Keep-Alive") != "" || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
					t.Errorf("got header %v with length %d, want a framed response on a kept connection", resp.Header, resp.ContentLength)
				}
			}
			assertRequestCount(t, h, 3)
		})
	}
	t.Run("a broken stream ends it", func(t *testing.T) {
		h := newHarness(t, respondUnframedHead(head, closeConn, eventText(1, 3), "id: 4\n"))
		c, reader := dialRelay(t, h)
		if _, got, err := keptCall(t, c, reader, "/once/x"); !errors.Is(err, io.ErrUnexpectedEOF) || got != eventText(1, 3) {
			t.Errorf("got %q %v, want three events and %v", got, err, io.ErrUnexpectedEOF)
		}
		if _, err := reader.ReadByte(); err == nil {
			t.Error("got an open connection, want it closed")
		}
	})
}

// TestCallerLeavesUnframedResponse guards against upstreams that work on after the
// caller has left in the middle of a response.
func TestCallerLeavesUnframedResponse(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x", "/once/x", "/resumable/x"} {
		t.Run(path, func(t *testing.T) {
			started, closed := make(chan struct{}, 1), make(chan time.Time, 1)
			h := newHarness(t, respondUnframed(func(c net.Conn, r *http.Request) {
				started <- struct{}{}
				waitForCaller(c, r)
				closed <- time.Now()
			}, eventText(1, 2), "id: 3"), respondOK("second"))
			c, _ := dialRelay(t, h)
			if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: 127.0.0.1\r\nId: r1\r\nContent-Length: 4\r\n\r\nbody", path); err != nil {
				t.Fatal(err)
			}
			<-started
			time.Sleep(50 * time.Millisecond)
			left := time.Now()
			_ = c.Close()
			select {
			case at := <-closed:
				if got := at.Sub(left); got > 500*time.Millisecond {
					t.Errorf("got the connection closed after %v, want it within 500 ms", got)
				}
			case <-time.After(5 * time.Second):
				t.Error("got an open connection, want it closed")
			}
			assertRequestCount(t, h, 1)
		})
	}
}

// TestLateUnframedResponse guards against requests that are held until their
// deadline by an unframed response to an earlier request on their connection.
func TestLateUnframedResponse(t *testing.T) {
	late := func(c net.Conn, r *http.Request) {
		if r.Header.Get("Id") == "r0" {
			respondOK("first")(c, r)
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: r0\r\nSeal: x\r\n\r\nlate")
		waitForCaller(c, r)
	}
	for path, want := range map[string]result{"/safe/x": {status: 200, body: "second"}, "/unsafe/x": {status: 502}} {
		t.Run(path, func(t *testing.T) {
			h := newHarness(t, late, respondOK("second"))
			assertResponse(t, h.call(t, http.MethodPost, path, "Id", "r0"), 200, "first")
			begin := time.Now()
			assertResponse(t, h.call(t, http.MethodPost, path), want.status, want.body)
			assertTook(t, begin, time.Second)
		})
	}
}
