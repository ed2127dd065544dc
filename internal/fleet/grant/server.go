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
	"snipeford/internal/fleet/detour"
	"snipeford/internal/operate/decision"
)

// nodeLostTimeout is how long the requests of a disconnected node still count. The
// node may have switched homes for a moment, or be restarting.
const nodeLostTimeout = 3 * time.Second

// Server handles the connections that other nodes open to this one.
type Server struct {
	Loop  *placer.Loop
	Timer *timer.Clock
	Log   *decision.Log
	// Status returns the state of the rows that this node forwards.
	Status func() FeedStatus
	// Detour serves a connection that is to lead to an upstream, until it is closed.
	Detour func(ctx context.Context, c net.Conn, r detour.Request)
	// Subscribe starts a subscription of another node.
	Subscribe SubscribeFunc
	// RowsSent is called with the size of rows to send to a subscriber, without their
	// encoding, and whether they are deltas. It may be nil.
	RowsSent func(c snipeford.Collection, asDelta bool, bytes int)
	// Leaving returns the upstreams with rows that have said in a response that they leave.
	// MarkLeaving records those that another node reports, and returns those that are new
	// to this one. Both may be nil.
	Leaving     func() []snipeford.LeavingUpstream
	MarkLeaving func(node snipeford.NodeID, list []snipeford.LeavingUpstream) (added []snipeford.LeavingUpstream)

	watched watchList

	mu    sync.Mutex
	peers map[snipeford.NodeID]*frameConn
}

// Serve accepts connections until ctx ends. When it returns, the listener is closed.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	// Accept may return a connection before the function above has run.
	defer func() { _ = listener.Close() }()
	for {
		c, err := listener.Accept()
		if err == nil && ctx.Err() != nil {
			_ = c.Close()
		}
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.Log.Warn("cannot accept peer connection", err)
			s.Timer.Sleep(ctx, acceptRetryDelay)
			continue
		}
		go s.serveConn(ctx, c)
	}
}

// acceptRetryDelay prevents a busy loop while Accept fails, for example because
// the process has run out of file descriptors.
const acceptRetryDelay = 50 * time.Millisecond

func (s *Server) serveConn(ctx context.Context, c net.Conn) {
	fc := newFrameConn(c, s.Timer)
	stop := context.AfterFunc(ctx, fc.close)
	defer stop()
	defer fc.close()
	frames := &frameLimit{reader: c, most: maxPeerFrameBytes}
	frames.next()
	reader := bufio.NewReader(frames)
	first, err := s.awaitFirstFrame(c, reader)
	if first.Detour != nil && s.Detour != nil {
		// The node sends nothing more before it has the reply, so that the reader holds
		// no bytes for the upstream.
		s.Detour(ctx, c, *first.Detour)
		return
	}
	if err != nil || first.Hello == nil {
		s.Log.Warn("first frame from peer is not a valid hello", errors.Join(errHello, err))
		return
	}
	decoder := json.NewDecoder(reader)
	node := first.Hello.Node
	s.addPeer(node, fc)
	for _, list := range s.watched.all() {
		go s.sendWatch(node, fc, list.Service)
	}
	go s.sendKnownLeaving(node, fc)
	s.Log.Info("peer connected", "Peer", node, "Incarnation", first.Hello.Incarnation)
	f := &feedWriter{conn: fc, frames: make(chan Frame, maxQueuedFrames), sent: s.RowsSent}
	defer f.stop()
	err = s.read(decoder, frames, node, f)
	s.Log.Info("peer disconnected", "Peer", node, "Error", err)
	if s.removePeer(node, fc) && s.Timer.Sleep(ctx, nodeLostTimeout) && !s.hasPeer(node) {
		s.Loop.Send(placer.NodeLost{Node: node})
	}
}

// readFirstFrame reads the line of the first frame, and nothing behind it.
func readFirstFrame(reader *bufio.Reader) (Frame, error) {
	line, err := reader.ReadSlice('\n')
	if err != nil {
		return Frame{}, fmt.Errorf("read first frame: %w", trace.ConvertSystemError(err))
	}
	var first Frame
	if err := json.Unmarshal(line, &first); err != nil {
		return Frame{}, fmt.Errorf("decode first frame: %w", trace.Wrap(err))
	}
	return first, nil
}

var errHello = errors.New("hello expected as first frame")

func (s *Server) addPeer(node snipeford.NodeID, fc *frameConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peers == nil {
		s.peers = map[snipeford.NodeID]*frameConn{}
	}
	s.peers[node] = fc
}

// removePeer removes the node's connection. It reports false if a newer
// connection of the node has replaced it.
func (s *Server) removePeer(node snipeford.NodeID, fc *frameConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peers[node] != fc {
		return false
	}
	delete(s.peers, node)
	return true
}

func (s *Server) hasPeer(node snipeford.NodeID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peers[node] != nil
}

// Deliver sends a placement to the node that requested it, and returns false if that node
// is not connected. It writes in a goroutine of its own, since it must not block the
// control goroutine.
func (s *Server) Deliver(reply placer.PlacementReply) bool {
	s.mu.Lock()
	fc := s.peers[reply.Node]
	s.mu.Unlock()
	if fc == nil {
		return false
	}
	go func() {
		if err := fc.send(Frame{Placement: &reply.Placement}); err != nil {
			s.Log.Warn("cannot deliver placement", err, "Peer", reply.Node, "Request", reply.Placement.RequestID)
		}
	}()
	return true
}

func (s *Server) read(decoder *json.Decoder, frames *frameLimit, node snipeford.NodeID, f *feedWriter) error {
	for {
		var m Frame
		frames.next()
		if err := decoder.Decode(&m); err != nil {
			return fmt.Errorf("read from peer: %w", trace.ConvertSystemError(err))
		}
		switch {
		case m.PlacementRequest != nil:
			m.PlacementRequest.EntryNode = node
			s.Loop.Send(placer.PlacementRequested{Request: *m.PlacementRequest})
		case m.PlacedLocally != nil:
			m.PlacedLocally.Request.EntryNode = node
			s.Loop.Send(placer.PlacedByOtherNode{Call: *m.PlacedLocally})
		case m.FirstEventReceived != nil:
			s.Loop.Send(placer.FirstEventReceived{Service: m.FirstEventReceived.Service, RequestID: m.FirstEventReceived.RequestID, Load: m.FirstEventReceived.Load})
		case m.RequestEnded != nil:
			s.Loop.Send(placer.RequestEnded{Service: m.RequestEnded.Service, RequestID: m.RequestEnded.RequestID, End: m.RequestEnded.end()})
		case m.UpstreamCrashed != nil:
			s.Loop.Send(placer.UpstreamCrashed{Crash: *m.UpstreamCrashed, AtHome: true})
		case m.Directives != nil:
			s.markReported(node, *m.Directives)
			s.Loop.Send(placer.DirectivesReceived{Report: *m.Directives, Node: node})
		case m.Sync != nil:
			s.markKnown(node, *m.Sync)
			s.Loop.Send(placer.NodeSynced{Node: node, Known: *m.Sync})
		case m.Subscribe != nil:
			f.start(*m.Subscribe, s.Subscribe)
		case m.Ping != nil:
			if err := f.sendPong(s.newPong(*m.Ping)); err != nil {
				return err
			}
		}
	}
}

func (s *Server) newPong(ping Ping) *Pong {
	status := s.Status()
	p := &Pong{Number: ping.Number, RoutingVersion: status.RoutingVersion, Confirmed: status.Confirmed, StalenessMs: status.Staleness.Milliseconds(), Revisions: status.Revisions}
	if ping.Digests {
		p.Digests = status.Digests
	}
	return p
}
