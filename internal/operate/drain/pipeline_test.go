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

// TestShutdownCutsPipelinedRequest guards against a server that cuts a running request
// because it was read together with the one before it on its connection.
func TestShutdownCutsPipelinedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var conns drain.Conns
		var network pipe.Network
		listener := conns.Wrap(network.Listen("callers"))
		handler := func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				select {
				case <-time.After(5 * time.Second):
				case <-r.Context().Done():
					panic(http.ErrAbortHandler)
				}
			}
			_, _ = io.WriteString(w, "done")
		}
		server := &http.Server{Handler: http.HandlerFunc(handler), ConnState: conns.StateChanged}
		go func() { _ = server.Serve(listener) }()
		c, err := network.Dial(t.Context(), "callers")
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET /slow HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		reader := bufio.NewReader(c)
		read := func() (string, error) {
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				return "", err
			}
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			return string(body), err
		}
		if got, err := read(); got != "done" || err != nil {
			t.Fatalf("got %q %v, want the first response", got, err)
		}
		synctest.Wait()
		stopped := make(chan error)
		go func() { stopped <- conns.Shutdown(context.Background(), &timer.Clock{}, listener, server) }()
		if got, err := read(); got != "done" || err != nil {
			t.Errorf("got %q %v, want the second response", got, err)
		}
		if err := <-stopped; err != nil {
			t.Errorf("got %v, want a complete shutdown", err)
		}
	})
}
