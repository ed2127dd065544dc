// Package peer implements the calls between nodes, over twirp: heartbeats,
// configurations, and whether an attempt of an order was given up. An order is a
// request that must be dispatched at most once.
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

// callTimeout limits the duration of one call to a peer.
const callTimeout = 1 * time.Second

// Client calls peers.
type Client struct {
	HTTP *http.Client
	Key  string
	// SentBytes counts the bytes of heartbeat messages.
	SentBytes metrics.Counter
}

// authClient adds the shared key to each request.
type authClient struct {
	client *http.Client
	key    string
}

// Do sends a request with the key.
func (c authClient) Do(r *http.Request) (*http.Response, error) {
	r.Header.Set(forward.PeerKeyHeader, c.key)
	return c.client.Do(r)
}

func (c *Client) rpcClient(m snipeford.Member) message.Peer {
	return message.NewPeerProtobufClient("http://"+m.PeerAddress, authClient{c.HTTP, c.Key})
}

// Heartbeat sends a heartbeat to a peer.
func (c *Client) Heartbeat(ctx context.Context, to snipeford.Member, heartbeat snipeford.Heartbeat) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := heartbeatToMessage(heartbeat)
	c.SentBytes.Inc(int64(proto.Size(request)))
	if _, err := c.rpcClient(to).Heartbeat(ctx, request); err != nil {
		return fmt.Errorf("send heartbeat to %s: %w", to.Node, trace.Wrap(err))
	}
	return nil
}

// Configuration requests the configuration in force at a peer.
func (c *Client) Configuration(ctx context.Context, from snipeford.Member) (snipeford.Configuration, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var out snipeford.Configuration
	reply, err := c.rpcClient(from).Configuration(ctx, &message.ConfigurationRequest{})
	if err != nil {
		return out, fmt.Errorf("request configuration of %s: %w", from.Node, trace.Wrap(err))
	}
	if err := json.Unmarshal(reply.GetConfiguration(), &out); err != nil {
		return out, fmt.Errorf("decode configuration of %s: %w", from.Node, trace.Wrap(err))
	}
	return out, nil
}

// Notice tells a peer that this node, self, has version v of the configuration. A
// peer with an older version fetches the configuration from self before it
// replies. Notice returns the version in force at the peer.
func (c *Client) Notice(ctx context.Context, to, self snipeford.Member, v snipeford.Version) (snipeford.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := c.rpcClient(to).Notice(ctx, &message.NoticeRequest{Version: uint64(v), From: memberToMessage(self)})
	if err != nil {
		return 0, fmt.Errorf("announce configuration version to %s: %w", to.Node, trace.Wrap(err))
	}
	return snipeford.Version(reply.GetInForce()), nil
}

// GivenUp asks a peer whether it gave up an attempt. If the call fails, it returns
// false, since the peer may still dispatch the attempt.
func (c *Client) GivenUp(ctx context.Context, to snipeford.Member, a snipeford.AttemptID) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := c.rpcClient(to).GivenUp(ctx, &message.GivenUpRequest{Attempt: string(a)})
	return err == nil && reply.GetGivenUp()
}

// AbandonedAttempts reports whether this node gave up an attempt of an order, and
// so will never dispatch it.
type AbandonedAttempts interface {
	GivenUp(a snipeford.AttemptID) bool
}

// Server serves the calls of peers.
type Server struct {
	Loop     *loop.Loop
	Attempts AbandonedAttempts
	Client   *Client
}

// Heartbeat passes a peer's heartbeat to the control loop.
func (s *Server) Heartbeat(_ context.Context, r *message.HeartbeatRequest) (*message.HeartbeatReply, error) {
	s.Loop.Send(reducer.HeartbeatReceived{Heartbeat: heartbeatFromMessage(r)})
	return &message.HeartbeatReply{}, nil
}

// Configuration returns the configuration in force.
func (s *Server) Configuration(context.Context, *message.ConfigurationRequest) (*message.ConfigurationReply, error) {
	raw, err := json.Marshal(s.currentConfiguration())
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", trace.Wrap(err))
	}
	return &message.ConfigurationReply{Configuration: raw}, nil
}

func (s *Server) currentConfiguration() snipeford.Configuration {
	var c snipeford.Configuration
	s.Loop.ReadState(func(state *reducer.State) { c = state.Configuration() })
	return c
}

// Notice fetches a newer configuration from the peer that announces it.
func (s *Server) Notice(ctx context.Context, r *message.NoticeRequest) (*message.NoticeReply, error) {
	if uint64(s.currentConfiguration().Version) < r.GetVersion() {
		c, err := s.Client.Configuration(ctx, memberFromMessage(r.GetFrom()))
		if err != nil {
			return nil, err
		}
		s.Loop.Send(reducer.ConfigurationRead{Configuration: c})
	}
	return &message.NoticeReply{InForce: uint64(s.currentConfiguration().Version)}, nil
}

// GivenUp reports whether this node gave up an attempt of an order.
func (s *Server) GivenUp(_ context.Context, r *message.GivenUpRequest) (*message.GivenUpReply, error) {
	return &message.GivenUpReply{GivenUp: s.Attempts.GivenUp(snipeford.AttemptID(r.GetAttempt()))}, nil
}

// RequireKey rejects requests that do not carry the key in the header.
func RequireKey(header, key string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get(header)), []byte(key)) != 1 {
			http.Error(w, "key differs", http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r)
	})
}
