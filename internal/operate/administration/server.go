// Package administration implements the operators' API. Every change creates a new
// version of the configuration, which records who made it and when.
package administration

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"
	"github.com/twitchtv/twirp"
	"golang.org/x/sync/errgroup"

	"snipeford"
	"snipeford/internal/control/loop"
	"snipeford/internal/control/reducer"
	"snipeford/internal/control/timer"
	"snipeford/internal/fleet/message"
	"snipeford/internal/fleet/peer"
	"snipeford/internal/operate/record"
	"snipeford/internal/request/dispatch"
	"snipeford/internal/rule/file"
	"snipeford/internal/rule/version"
)

// KeyHeader is the HTTP header that carries the operators' key.
const KeyHeader = "Snipeford-Operator-Key"

const (
	// changeTimeout limits how long a request waits until a change is in force at
	// a peer.
	changeTimeout = 10 * time.Second
	// changePollInterval is the time between two calls that check whether it is.
	changePollInterval = 100 * time.Millisecond
)

// AuthenticatedClient is an HTTP client that adds a key to each request.
type AuthenticatedClient struct {
	Client      *http.Client
	Header, Key string
}

// Do sends a request with the key.
func (c AuthenticatedClient) Do(r *http.Request) (*http.Response, error) {
	r.Header.Set(c.Header, c.Key)
	return c.Client.Do(r)
}

// Server implements the API of one node.
type Server struct {
	Node    snipeford.Member
	Loop    *loop.Loop
	Store   *version.Store
	Peers   *peer.Client
	Timer   *timer.Clock
	Log     *log.Logger
	Records *record.History
	// PeerAdministration returns a client for a peer's administration API.
	PeerAdministration func(snipeford.Member) message.Administration
	// StartDrain makes this node drain.
	StartDrain func()
}

// Apply commits a rules file as the next version of the configuration, or only
// returns the changes in a dry run.
func (s *Server) Apply(ctx context.Context, r *message.ApplyRequest) (*message.ChangeReply, error) {
	rules, err := file.Parse("rules", []byte(r.GetRulesToml()))
	if err != nil {
		return nil, twirp.InvalidArgumentError("rules", err.Error())
	}
	if r.GetBy() == "" {
		return nil, twirp.RequiredArgumentError("by")
	}
	old, err := s.newestConfiguration(ctx)
	if err != nil {
		return nil, err
	}
	if base := snipeford.Version(r.GetBaseVersion()); base > 0 && base != old.Version {
		return nil, conflictError(&version.ConflictError{Base: base, Found: old})
	}
	reply := &message.ChangeReply{Version: uint64(old.Version), Changes: file.Difference(old.Rules, rules)}
	if r.GetDryRun() || len(reply.Changes) == 0 {
		return reply, nil
	}
	next := old
	next.Rules = rules
	next.ChangeSummary = fmt.Sprintf("apply of %d changed rules", len(reply.Changes))
	return s.commit(ctx, old, next, r.GetBy(), r.GetWait(), reply)
}

// SetOut takes a failure domain or an upstream out of service, or puts it back.
func (s *Server) SetOut(ctx context.Context, r *message.OutRequest) (*message.ChangeReply, error) {
	if (r.GetDomain() == "") == (r.GetUpstream() == "") {
		return nil, twirp.InvalidArgumentError("domain", "name either a failure domain or an upstream")
	}
	if r.GetBy() == "" {
		return nil, twirp.RequiredArgumentError("by")
	}
	old, err := s.newestConfiguration(ctx)
	if err != nil {
		return nil, err
	}
	next := old
	next.OutDomains = setIncluded(old.OutDomains, snipeford.FailureDomain(r.GetDomain()), r.GetOut())
	next.OutUpstreams = setIncluded(old.OutUpstreams, snipeford.UpstreamID(r.GetUpstream()), r.GetOut())
	reply := &message.ChangeReply{Version: uint64(old.Version)}
	if slices.Equal(next.OutDomains, old.OutDomains) && slices.Equal(next.OutUpstreams, old.OutUpstreams) {
		return reply, nil
	}
	verb := "back: "
	if r.GetOut() {
		verb = "out: "
	}
	next.ChangeSummary = verb + r.GetDomain() + r.GetUpstream()
	reply.Changes = []string{next.ChangeSummary}
	return s.commit(ctx, old, next, r.GetBy(), r.GetWait(), reply)
}

// setIncluded returns the sorted list with or without the name. If the name is
// empty, it returns the list unchanged.
func setIncluded[T ~string](list []T, name T, included bool) []T {
	if name == "" {
		return list
	}
	out := slices.DeleteFunc(slices.Clone(list), func(other T) bool { return other == name })
	if included {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// newestConfiguration reads the newest configuration from the table.
func (s *Server) newestConfiguration(ctx context.Context) (snipeford.Configuration, error) {
	n, err := s.Store.LatestVersion(ctx)
	if err == nil && n == 0 {
		return snipeford.Configuration{}, nil
	}
	var c snipeford.Configuration
	if err == nil {
		c, err = s.Store.Configuration(ctx, n)
	}
	if err != nil {
		return c, twirp.NewError(twirp.Unavailable, "table does not answer, nothing was changed: "+err.Error())
	}
	return c, nil
}

func (s *Server) commit(ctx context.Context, old, next snipeford.Configuration, by string, wait bool, reply *message.ChangeReply) (*message.ChangeReply, error) {
	next.ChangedBy, next.ChangedAt = by, s.Timer.Wall()
	changeID := string(dispatch.NewAttemptID())
	err := s.Store.Commit(ctx, old.Version, next, changeID)
	var conflict *version.ConflictError
	switch {
	case errors.As(err, &conflict):
		return nil, conflictError(conflict)
	case errors.Is(err, version.ErrOutcomeUnknown):
		return nil, twirp.NewError(twirp.Unknown, "not known whether the change was accepted; check with the verb show").WithMeta("change", changeID)
	case err != nil:
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	next.Version, next.ChangeID = old.Version+1, changeID
	s.Log.Info("change accepted", "Version", next.Version, "By", by, "What", next.ChangeSummary)
	s.Loop.Send(reducer.ConfigurationRead{Configuration: next})
	reply.Version = uint64(next.Version)
	reply.Nodes = s.notifyPeers(ctx, next.Version, wait)
	return reply, nil
}

func conflictError(c *version.ConflictError) error {
	return twirp.NewError(twirp.Aborted, c.Error())
}

// notifyPeers announces version v to all peers and returns the version in force at
// each of them. The result also lists this node, with version v.
func (s *Server) notifyPeers(ctx context.Context, v snipeford.Version, wait bool) []*message.NodeVersion {
	var peers []snipeford.Member
	s.Loop.ReadState(func(state *reducer.State) { peers = state.Peers() })
	out := make([]*message.NodeVersion, len(peers)+1)
	out[0] = &message.NodeVersion{Node: string(s.Node.Node), Version: uint64(v)}
	var group errgroup.Group
	for i, p := range peers {
		group.Go(func() error {
			out[i+1] = s.notifyPeer(ctx, p, v, wait)
			return nil
		})
	}
	// The goroutines return no errors; each error is part of its node's result.
	_ = group.Wait()
	return out
}

func (s *Server) notifyPeer(ctx context.Context, p snipeford.Member, v snipeford.Version, wait bool) *message.NodeVersion {
	deadline := s.Timer.Now().Add(changeTimeout)
	for {
		got, err := s.Peers.Notice(ctx, p, s.Node, v)
		out := &message.NodeVersion{Node: string(p.Node), Version: uint64(got)}
		if err != nil {
			out.Error = err.Error()
		}
		if !wait || got >= v || s.Timer.Now() >= deadline || !s.Timer.Sleep(ctx, changePollInterval) {
			return out
		}
	}
}

// Show returns the configuration in force at this node.
func (s *Server) Show(context.Context, *message.ShowRequest) (*message.ShowReply, error) {
	var c snipeford.Configuration
	s.Loop.ReadState(func(state *reducer.State) { c = state.Configuration() })
	raw, err := json.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", trace.Wrap(err))
	}
	return &message.ShowReply{Configuration: raw}, nil
}

// Status returns this node's view of nodes, homes, upstreams and queues.
func (s *Server) Status(context.Context, *message.StatusRequest) (*message.StatusReply, error) {
	var status reducer.Status
	s.Loop.ReadState(func(state *reducer.State) { status = state.Status(s.Timer.Now()) })
	raw, err := json.Marshal(status)
	if err != nil {
		return nil, fmt.Errorf("encode status: %w", trace.Wrap(err))
	}
	return &message.StatusReply{Status: raw}, nil
}

// Drain makes this node finish its requests and exit.
func (s *Server) Drain(_ context.Context, r *message.DrainRequest) (*message.DrainReply, error) {
	s.Log.Info("drain requested", "By", r.GetBy())
	s.StartDrain()
	return &message.DrainReply{}, nil
}

// Explain returns the decisions about a request at this node and, unless the
// request is local, at all peers.
func (s *Server) Explain(ctx context.Context, r *message.ExplainRequest) (*message.ExplainReply, error) {
	reply := &message.ExplainReply{}
	for _, line := range s.Records.Lines(snipeford.RequestID(r.GetRequest())) {
		reply.Lines = append(reply.Lines, line+" ["+string(s.Node.Node)+"]")
	}
	if r.GetLocal() {
		return reply, nil
	}
	var peers []snipeford.Member
	s.Loop.ReadState(func(state *reducer.State) { peers = state.Peers() })
	for _, p := range peers {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		remote, err := s.PeerAdministration(p).Explain(ctx, &message.ExplainRequest{Request: r.GetRequest(), Local: true})
		cancel()
		if err != nil {
			reply.Lines = append(reply.Lines, "?            not known, node does not answer ["+string(p.Node)+"]")
			continue
		}
		reply.Lines = append(reply.Lines, remote.GetLines()...)
	}
	slices.Sort(reply.Lines)
	return reply, nil
}
