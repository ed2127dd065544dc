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

// peerHandler returns the handler for the peers' listener.
func (n *Node) peerHandler() http.Handler {
	peerService := message.NewPeerServer(n.peerServer)
	admin := message.NewAdministrationServer(n.admin)
	mux := http.NewServeMux()
	mux.Handle(forward.Path, n.forwardServer)
	mux.Handle(peerService.PathPrefix(), peer.RequireKey(forward.PeerKeyHeader, n.settings.PeerKey, peerService))
	mux.Handle(admin.PathPrefix(), peer.RequireKey(forward.PeerKeyHeader, n.settings.PeerKey, admin))
	return mux
}

// operatorHandler returns the handler for operators and for the load balancer's
// health checks.
func (n *Node) operatorHandler() http.Handler {
	admin := message.NewAdministrationServer(n.admin)
	mux := http.NewServeMux()
	mux.Handle(admin.PathPrefix(), peer.RequireKey(administration.KeyHeader, n.settings.OperatorKey, admin))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		writeStatus(w, n.loop.ReadState(func(*reducer.State) {}), "control loop runs")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		writeStatus(w, n.ready(), "ready")
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
	return ready && !n.draining.Load()
}

func writeStatus(w http.ResponseWriter, ok bool, text string) {
	if !ok {
		http.Error(w, "not "+text, http.StatusServiceUnavailable)
		return
	}
	// A write error means that the client has disconnected.
	_, _ = w.Write([]byte(text + "\n"))
}
