package edge

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"snipeford/internal/control/timer"
	"snipeford/internal/emulate/pipe"
	"snipeford/internal/operate/decision"
	"snipeford/internal/operate/settings"
	"snipeford/internal/request/relay"
)

// TestRequestArrivesWhileNodeStops guards against requests that have begun to arrive
// when the drain ends, and that were cut off without a response.
func TestRequestArrivesWhileNodeStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, clock := &pipe.Network{}, &timer.Clock{}
		n := &Node{settings: settings.Edge{StopGrace: 8 * time.Second}, timer: clock, log: decision.New("n", log.InfoLevel, clock), relay: &relay.Server{Timer: clock}}
		n.callers = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(200 * time.Millisecond)
			_, _ = io.WriteString(w, "done")
		})}
		n.callers.ConnState = n.countConn
		n.callerListener = network.Listen("callers")
		go func() { _ = n.callers.Serve(n.callerListener) }()
		c, err := network.Dial(t.Context(), "callers")
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		stopped := make(chan struct{})
		go func() {
			n.drain(context.Background())
			_ = n.callers.Close()
			close(stopped)
		}()
		time.Sleep(loadBalancerDelay - 10*time.Millisecond)
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
		if _, err := io.WriteString(c, "\r\n"); err != nil {
			t.Fatalf("got %v while the request was sent, want an open connection", err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatalf("got %v, want a response", err)
		}
		body, err := io.ReadAll(resp.Body)
		if string(body) != "done" || err != nil {
			t.Errorf("got %q %v, want the whole response", body, err)
		}
		<-stopped
	})
}
