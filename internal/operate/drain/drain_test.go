package drain_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"snipeford/internal/control/timer"
	"snipeford/internal/emulate/pipe"
	"snipeford/internal/operate/drain"
)

// TestShutdownCutsArrivingRequest guards against a server that closes a kept connection
// while the header of its next request is arriving.
func TestShutdownCutsArrivingRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var conns drain.Conns
		var network pipe.Network
		listener := conns.Wrap(network.Listen("callers"))
		handler := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") }
		server := &http.Server{Handler: http.HandlerFunc(handler), ConnState: conns.StateChanged}
		go func() { _ = server.Serve(listener) }()
		c, err := network.Dial(t.Context(), "callers")
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		reader := bufio.NewReader(c)
		send := func(text string) {
			if _, err := io.WriteString(c, text); err != nil {
				t.Fatalf("got %v while a request was sent, want an open connection", err)
			}
		}
		read := func() {
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatalf("got %v, want a response", err)
			}
			defer resp.Body.Close()
			if _, err := io.ReadAll(resp.Body); err != nil {
				t.Fatalf("got %v in the body, want the whole body", err)
			}
		}
		send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		read()
		synctest.Wait()
		send("GET / HTTP/1.1\r\nHost: h\r\n")
		stopped := make(chan error)
		go func() { stopped <- conns.Shutdown(context.Background(), &timer.Clock{}, listener, server) }()
		time.Sleep(drain.ArrivalTime / 2)
		send("\r\n")
		read()
		if err := <-stopped; err != nil {
			t.Errorf("got %v, want a complete shutdown", err)
		}
		if got := conns.Open(); got != 0 {
			t.Errorf("got %d open connections, want 0", got)
		}
	})
}
