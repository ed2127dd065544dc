// Package peer is what nodes ask each other directly, over twirp: heartbeats,
// configurations, and whether an order's attempt was given up.
package peer

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"snipeford"
	"snipeford/internal/control/loop"
	"snipeford/internal/control/reducer"
	"snipeford/internal/fleet/message"
	"snipeford/internal/request/forward"
)

// callTimeout bounds one call of a peer.
const callTimeout = 1 * time.Second

// Client calls peers.
type Client struct {
	HTTP *http.Client
	Key  string
	// SentBytes counts the heartbeats' bytes.
	SentBytes metrics.Counter
}

// keyed adds the shared key to each call.
type keyed struct {
	client *http.Client
	key    string
}

// Do sends a call with the key.
func (k keyed) Do(r *http.Request) (*http.Response, error) {
	r.Header.Set(forward.PeerKeyHeader, k.key)
	return k.client.Do(r)
}

func (c *Client) to(m snipeford.Member) message.Peer {
	return message.NewPeerProtobufClient("http://"+m.PeerAddress, keyed{c.HTTP, c.Key})
}

// Heartbeat tells one peer.
func (c *Client) Heartbeat(ctx context.Context, to snipeford.Member, b snipeford.Heartbeat) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m := heartbeatMessage(b)
	c.SentBytes.Inc(int64(proto.Size(m)))
	if _, err := c.to(to).Heartbeat(ctx, m); err != nil {
		return fmt.Errorf("heartbeat to %s: %w", to.Node, trace.Wrap(err))
	}
	return nil
}

// Configuration asks a peer for its configuration.
func (c *Client) Configuration(ctx context.Context, from snipeford.Member) (snipeford.Configuration, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var out snipeford.Configuration
	reply, err := c.to(from).Configuration(ctx, &message.ConfigurationRequest{})
	if err != nil {
		return out, fmt.Errorf("configuration of %s: %w", from.Node, trace.Wrap(err))
	}
	if err := json.Unmarshal(reply.GetConfiguration(), &out); err != nil {
		return out, fmt.Errorf("decode configuration of %s: %w", from.Node, trace.Wrap(err))
	}
	return out, nil
}

// Notice tells a peer of a version that self has, and returns the one that is
// in force there.
func (c *Client) Notice(ctx context.Context, to, self snipeford.Member, v snipeford.Version) (snipeford.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := c.to(to).Notice(ctx, &message.NoticeRequest{Version: uint64(v), From: memberMessage(self)})
	if err != nil {
		return 0, fmt.Errorf("notice to %s: %w", to.Node, trace.Wrap(err))
	}
	return snipeford.Version(reply.GetInForce()), nil
}

// GivenUp asks a peer whether it gave up an attempt. Only a clear yes counts.
func (c *Client) GivenUp(ctx context.Context, to snipeford.Member, a snipeford.AttemptID) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := c.to(to).GivenUp(ctx, &message.GivenUpRequest{Attempt: string(a)})
	return err == nil && reply.GetGivenUp()
}

// Attempts answers for this node's orders.
type Attempts interface {
	GivenUp(a snipeford.AttemptID) bool
}

// Server answers peers.
type Server struct {
	Loop     *loop.Loop
	Attempts Attempts
	Client   *Client
}

// Heartbeat takes a peer's heartbeat in.
func (s *Server) Heartbeat(_ context.Context, r *message.HeartbeatRequest) (*message.HeartbeatReply, error) {
	s.Loop.Send(reducer.HeartbeatReceived{Heartbeat: heartbeatOf(r)})
	return &message.HeartbeatReply{}, nil
}

// Configuration answers with the configuration in force.
func (s *Server) Configuration(context.Context, *message.ConfigurationRequest) (*message.ConfigurationReply, error) {
	raw, err := json.Marshal(s.inForce())
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", trace.Wrap(err))
	}
	return &message.ConfigurationReply{Configuration: raw}, nil
}

func (s *Server) inForce() snipeford.Configuration {
	var c snipeford.Configuration
	s.Loop.ReadState(func(state *reducer.State) { c = state.Configuration() })
	return c
}

// Notice fetches a newer configuration from the peer that announces it.
func (s *Server) Notice(ctx context.Context, r *message.NoticeRequest) (*message.NoticeReply, error) {
	if uint64(s.inForce().Version) < r.GetVersion() {
		c, err := s.Client.Configuration(ctx, memberOf(r.GetFrom()))
		if err != nil {
			return nil, err
		}
		s.Loop.Send(reducer.ConfigurationRead{Configuration: c})
	}
	return &message.NoticeReply{InForce: uint64(s.inForce().Version)}, nil
}

// GivenUp answers for this node's orders.
func (s *Server) GivenUp(_ context.Context, r *message.GivenUpRequest) (*message.GivenUpReply, error) {
	return &message.GivenUpReply{GivenUp: s.Attempts.GivenUp(snipeford.AttemptID(r.GetAttempt()))}, nil
}

// RequireKey lets only calls through that carry the key.
func RequireKey(header, key string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get(header)), []byte(key)) != 1 {
			http.Error(w, "key differs", http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r)
	})
}
