package node

import (
	"net/http"

	"github.com/rcrowley/go-metrics"

	"snipeford/internal/control/reducer"
	"snipeford/internal/fleet/message"
	"snipeford/internal/fleet/peer"
	"snipeford/internal/operate/administration"
	"snipeford/internal/request/forward"
)

// peerHandler serves the other nodes.
func (n *Node) peerHandler() http.Handler {
	calls := message.NewPeerServer(n.server)
	admin := message.NewAdministrationServer(n.admin)
	mux := http.NewServeMux()
	mux.Handle(forward.Path, n.forwarded)
	mux.Handle(calls.PathPrefix(), peer.RequireKey(forward.PeerKeyHeader, n.settings.PeerKey, calls))
	mux.Handle(admin.PathPrefix(), peer.RequireKey(forward.PeerKeyHeader, n.settings.PeerKey, admin))
	return mux
}

// operatorHandler serves operators and the balancer's checks.
func (n *Node) operatorHandler() http.Handler {
	admin := message.NewAdministrationServer(n.admin)
	mux := http.NewServeMux()
	mux.Handle(admin.PathPrefix(), peer.RequireKey(administration.KeyHeader, n.settings.OperatorKey, admin))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, n.loop.ReadState(func(*reducer.State) {}), "control loop runs")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, n.ready(), "ready")
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(n.registry, w)
	})
	return mux
}

func (n *Node) ready() bool {
	ready := false
	n.loop.ReadState(func(s *reducer.State) { ready = s.Ready(n.timer.Now()) })
	return ready && !n.leaving.Load()
}

func answer(w http.ResponseWriter, ok bool, text string) {
	if !ok {
		http.Error(w, "not "+text, http.StatusServiceUnavailable)
		return
	}
	// Where the asker has left there is nobody to tell.
	_, _ = w.Write([]byte(text + "\n"))
}
