package edge

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// TestPipelinedRequestCutAtStop guards against a request that was read together with the
// one before it on its connection, and that a stopping node cuts without a response
// because it takes the connection for idle.
func TestPipelinedRequestCutAtStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startNode(t, testGrace, "")
		c := s.dial(t)
		sendText(t, c, "GET /plain/ HTTP/1.1\r\nHost: h\r\n\r\nGET /stream/ HTTP/1.1\r\nHost: h\r\n\r\n")
		reader := bufio.NewReader(c)
		first, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, first.Body); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		begin := time.Now()
		stopped := s.stop()
		second, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Errorf("got %v %v after SIGTERM, want a response to the second request", err, time.Since(begin))
		} else {
			if _, err := io.Copy(io.Discard, second.Body); err != nil || second.StatusCode != http.StatusServiceUnavailable {
				t.Errorf("got status %d %v, want %d", second.StatusCode, err, http.StatusServiceUnavailable)
			}
		}
		assertStoppedWithin(t, stopped, begin, testGrace)
	})
}

// TestUnwrittenResponseCutAtStop guards against a response that its handler has ended
// but that is not yet written to the connection, and that a stopping node cuts although
// it has seconds left.
func TestUnwrittenResponseCutAtStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startNode(t, testGrace, "")
		c := s.dial(t)
		begin := time.Now()
		stopped := s.stop()
		time.Sleep(loadBalancerDelay - 100*time.Millisecond)
		sendText(t, c, "GET /plain/ HTTP/1.1\r\nHost: h\r\nTimeout: 1s\r\n\r\n")
		// The connection takes bytes only when the caller reads.
		time.Sleep(time.Second)
		assertStatus(t, c, http.StatusServiceUnavailable)
		assertStoppedWithin(t, stopped, begin, testGrace)
	})
}
