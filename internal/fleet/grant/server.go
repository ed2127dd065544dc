package grant

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"snipeford"
	"snipeford/internal/control/placer"
	"snipeford/internal/control/timer"
	"snipeford/internal/operate/decision"
)

// lostAfter is how long after a node's last connection its requests are still
// counted: it may have switched homes for a moment, or been restarted.
const lostAfter = 3 * time.Second

// Server answers other nodes.
type Server struct {
	Loop  *placer.Loop
	Timer *timer.Clock
	Log   *decision.Log
	// RoutingStatus returns the routing version and the age of its confirmation.
	RoutingStatus func() (snipeford.Version, time.Duration, bool)
	// Subscribe calls push with all rows that are known, and then with each
	// change, until the returned function is called. Push must not block.
	Subscribe func(push func(Rows)) (cancel func())

	mu    sync.Mutex
	peers map[snipeford.NodeID]*wire
}

// Serve accepts connections until ctx ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		c, err := listener.Accept()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.Log.Failed("peer not accepted", err)
			s.Timer.Sleep(ctx, acceptPause)
			continue
		}
		go s.serve(ctx, c)
	}
}

// acceptPause keeps a listener without descriptors from spinning.
const acceptPause = 50 * time.Millisecond

func (s *Server) serve(ctx context.Context, c net.Conn) {
	w := newWire(c, s.Timer.Wall)
	stop := context.AfterFunc(ctx, w.close)
	defer stop()
	defer w.close()
	decoder := json.NewDecoder(bufio.NewReader(c))
	var first Frame
	if err := decoder.Decode(&first); err != nil || first.Hello == nil {
		s.Log.Failed("peer did not say who it is", errors.Join(errHello, err))
		return
	}
	node := first.Hello.Node
	s.join(node, w)
	s.Log.Believed("peer asks here", "Peer", node, "Incarnation", first.Hello.Incarnation)
	f := &feedWriter{wire: w, frames: make(chan Frame, framesQueued)}
	defer f.stop()
	err := s.read(decoder, node, f)
	s.Log.Believed("peer left", "Peer", node, "Error", err)
	if s.leave(node, w) && s.Timer.Sleep(ctx, lostAfter) && !s.joined(node) {
		s.Loop.Send(placer.NodeLost{Node: node})
	}
}

var errHello = errors.New("first message is no hello")

func (s *Server) join(node snipeford.NodeID, w *wire) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peers == nil {
		s.peers = map[snipeford.NodeID]*wire{}
	}
	s.peers[node] = w
}

// leave reports whether the connection was the node's newest.
func (s *Server) leave(node snipeford.NodeID, w *wire) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peers[node] != w {
		return false
	}
	delete(s.peers, node)
	return true
}

func (s *Server) joined(node snipeford.NodeID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peers[node] != nil
}

// Deliver sends an answer to the node that asked. It must not block the control
// goroutine, so that it writes in its own.
func (s *Server) Deliver(g placer.PlacementReply) {
	s.mu.Lock()
	w := s.peers[g.Node]
	s.mu.Unlock()
	if w == nil {
		// The node has left; its own decision stands in for the answer.
		s.Loop.Send(placer.NodeLost{Node: g.Node})
		return
	}
	go func() {
		if err := w.send(Frame{Placement: &g.Placement}); err != nil {
			s.Log.Failed("answer not delivered", err, "Peer", g.Node, "Request", g.Placement.RequestID)
		}
	}()
}

func (s *Server) read(decoder *json.Decoder, node snipeford.NodeID, f *feedWriter) error {
	for {
		var m Frame
		if err := decoder.Decode(&m); err != nil {
			return fmt.Errorf("read peer: %w", trace.ConvertSystemError(err))
		}
		switch {
		case m.PlacementRequest != nil:
			m.PlacementRequest.EntryNode = node
			s.Loop.Send(placer.PlacementRequested{Request: *m.PlacementRequest})
		case m.PlacedLocally != nil:
			m.PlacedLocally.Request.EntryNode = node
			s.Loop.Send(placer.PlacedRemotely{Call: *m.PlacedLocally})
		case m.FirstEventReceived != nil:
			s.Loop.Send(placer.FirstEventReceived{Service: m.FirstEventReceived.Service, RequestID: m.FirstEventReceived.RequestID, Load: m.FirstEventReceived.Load})
		case m.RequestEnded != nil:
			s.Loop.Send(placer.RequestEnded{Service: m.RequestEnded.Service, RequestID: m.RequestEnded.RequestID, Failed: m.RequestEnded.Failed, FaultUpstream: m.RequestEnded.FaultUpstream})
		case m.Sync != nil:
			s.Loop.Send(placer.NodeSynced{Node: node, Calls: m.Sync.Calls})
		case m.Subscribe != nil:
			f.start(s.Subscribe)
		case m.Ping != nil:
			if err := f.pong(s.pong(m.Ping.Number)); err != nil {
				return err
			}
		}
	}
}

func (s *Server) pong(number uint64) *Pong {
	version, age, ok := s.RoutingStatus()
	return &Pong{Number: number, RoutingVersion: version, Confirmed: ok, StalenessMs: age.Milliseconds()}
}
