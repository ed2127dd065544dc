// Package engine emulates a model engine: it serves the engines' published protocol
// with the model of package batch.
package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"snipeford"
	"snipeford/internal/control/timer"
	"snipeford/internal/emulate/answer"
	"snipeford/internal/emulate/batch"
	"snipeford/internal/request/prompt"
	"snipeford/internal/upstream/engine"
)

// Entry is an accepted attempt.
type Entry struct {
	Attempt snipeford.AttemptID
	Prompt  snipeford.Tokens
	Fence   snipeford.FencingToken
	// At is the server's time in milliseconds.
	At int64
}

// State is the state of an emulated engine, for checks by tests.
type State struct {
	// AcceptedAttempts lists the accepted attempts.
	AcceptedAttempts []Entry `json:"Ledger"`
	// PeakStreams is the maximum number of concurrent streams.
	PeakStreams      int `json:"Peak"`
	ExcessRequests   int `json:"Excess"`
	OverloadRestarts int `json:"Collapses"`
	// MemoryUsed is the memory in use.
	MemoryUsed   snipeford.Tokens `json:"Held"`
	Reservations int
	Running      int
	Cold         bool
	// FirstRejectionAt is the time of the first rejected request, in milliseconds.
	FirstRejectionAt int64 `json:"FirstExcess"`
}

// Intervals and limits of an emulated engine.
const (
	keepAliveInterval  = 1 * time.Second
	loadSampleInterval = 100 * time.Millisecond
	idleCheck          = 100 * time.Millisecond
	// maxEvents is the maximum number of stored eviction events. Every
	// lostEventInterval-th event is lost.
	maxEvents         = 10_000
	lostEventInterval = 10
)

// Server is an emulated engine.
type Server struct {
	ID                       snipeford.UpstreamID
	ProcessIncarnation       string
	Timer                    *timer.Clock
	RejectStaleFencingTokens bool
	// ReportLag is how far load reports lag behind.
	ReportLag time.Duration

	mu                       sync.Mutex
	engine                   *batch.Engine
	wake                     chan struct{}
	streams                  map[*batch.Job]chan batch.Event
	reservationFencingTokens map[snipeford.AttemptID]snipeford.FencingToken
	highestFencingToken      snipeford.FencingToken
	samples                  []loadSample
	events                   []engine.EvictionEvent
	lastSequence             uint64
	frozen                   bool
	streamFault              StreamFault
	state                    State
}

type loadSample struct {
	at   snipeford.Instant
	load snipeford.LoadReport
}

// New returns an emulated engine. processIncarnation distinguishes the runs of
// its process.
func New(id snipeford.UpstreamID, processIncarnation string, config batch.Config, cold bool, t *timer.Clock) *Server {
	return &Server{
		ID: id, ProcessIncarnation: processIncarnation, Timer: t,
		engine:                   batch.New(config, cold),
		wake:                     make(chan struct{}, 1),
		streams:                  map[*batch.Job]chan batch.Event{},
		reservationFencingTokens: map[snipeford.AttemptID]snipeford.FencingToken{},
	}
}

// Run runs the engine's steps until ctx ends.
func (s *Server) Run(ctx context.Context) {
	samples := s.Timer.Every(ctx, loadSampleInterval)
	for ctx.Err() == nil {
		s.mu.Lock()
		s.engine.Expire(s.Timer.Now())
		d, busy := s.engine.BeginStep()
		frozen := s.frozen
		s.mu.Unlock()
		if frozen || !busy {
			select {
			case <-ctx.Done():
			case <-s.wake:
			case <-samples:
				s.recordLoad()
			}
			continue
		}
		s.Timer.Sleep(ctx, d)
		s.finishStep()
		select {
		case <-samples:
			s.recordLoad()
		default:
		}
	}
}

func (s *Server) finishStep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.engine.EndStep() {
		if c := s.streams[e.Job]; c != nil {
			c <- e
		}
	}
	for _, h := range s.engine.Evicted() {
		s.lastSequence++
		if s.lastSequence%lostEventInterval != 0 {
			s.events = append(s.events, engine.EvictionEvent{Sequence: s.lastSequence, Block: h})
		}
	}
	s.events = s.events[max(0, len(s.events)-maxEvents):]
}

// recordLoad records the current load for delayed reports.
func (s *Server) recordLoad() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samples = append(s.samples, loadSample{s.Timer.Now(), s.currentLoad()})
	s.samples = s.samples[max(0, len(s.samples)-64):]
}

func (s *Server) currentLoad() snipeford.LoadReport {
	l := s.engine.Load()
	l.Upstream = s.ID
	l.Incarnation = s.incarnation()
	return l
}

func (s *Server) incarnation() snipeford.Incarnation {
	// The letter stands for the number of restarts within the process and repeats
	// after 26 restarts.
	return snipeford.Incarnation(s.ProcessIncarnation + "." + string(rune('a'+s.engine.RestartCount()%26)))
}

// delayedLoad returns the load of ReportLag ago, or the current load if no sample is
// that old.
func (s *Server) delayedLoad() snipeford.LoadReport {
	until := s.Timer.Now().Add(-s.ReportLag)
	for i := len(s.samples) - 1; i >= 0; i-- {
		if s.samples[i].at <= until {
			return s.samples[i].load
		}
	}
	return s.currentLoad()
}

// Handler returns the server's routes.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engine.PathGenerate, s.generate)
	mux.HandleFunc("POST "+engine.PathReserve, s.reserve)
	mux.HandleFunc("POST "+engine.PathPrefill, s.prefill)
	mux.HandleFunc("POST "+engine.PathRelease, s.release)
	mux.HandleFunc("GET "+engine.PathReservations, s.reservations)
	mux.HandleFunc("GET "+engine.PathLoad, s.reportLoad)
	mux.HandleFunc("GET "+engine.PathEvents, s.reportEvents)
	mux.HandleFunc("GET /control/state", s.reportState)
	mux.HandleFunc("POST /control/engine", s.control)
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

// rejectsFencingToken reports whether a request is rejected because its fencing token
// is stale. Otherwise it records the token.
func (s *Server) rejectsFencingToken(fencingToken snipeford.FencingToken) bool {
	if s.RejectStaleFencingTokens && fencingToken < s.highestFencingToken {
		return true
	}
	s.highestFencingToken = max(s.highestFencingToken, fencingToken)
	return false
}

// submit submits a job and opens its stream.
func (s *Server) submit(j *batch.Job, fencingToken snipeford.FencingToken) (chan batch.Event, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rejectsFencingToken(fencingToken) {
		return nil, http.StatusPreconditionFailed
	}
	lost, err := s.engine.Submit(j)
	s.closeStreams(lost)
	if err != nil {
		s.recordRejection()
		return nil, http.StatusServiceUnavailable
	}
	s.state.AcceptedAttempts = append(s.state.AcceptedAttempts, Entry{j.ID, j.Prompt, fencingToken, time.Duration(s.Timer.Now()).Milliseconds()})
	s.state.PeakStreams = max(s.state.PeakStreams, len(s.streams)+1)
	c := make(chan batch.Event, j.Output+2)
	s.streams[j] = c
	s.signalWork()
	return c, http.StatusOK
}

func (s *Server) recordRejection() {
	if s.state.FirstRejectionAt == 0 {
		s.state.FirstRejectionAt = time.Duration(s.Timer.Now()).Milliseconds()
	}
}

func (s *Server) signalWork() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// closeStreams closes the streams of jobs that the engine lost.
func (s *Server) closeStreams(lost []*batch.Job) {
	for _, j := range lost {
		if c := s.streams[j]; c != nil {
			close(c)
			delete(s.streams, j)
		}
	}
}

// removeJob removes a job that ended or whose client has disconnected.
func (s *Server) removeJob(j *batch.Job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, running := s.streams[j]; running {
		delete(s.streams, j)
		s.engine.Cancel(j.ID)
	}
}

func (s *Server) reserve(w http.ResponseWriter, r *http.Request) {
	var body engine.ReserveRequest
	if !readJSON(w, r, &body) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rejectsFencingToken(body.FencingToken) {
		http.Error(w, "old fence", http.StatusPreconditionFailed)
		return
	}
	until := s.Timer.Now().Add(time.Duration(body.Seconds * float64(time.Second)))
	if err := s.engine.Reserve(body.Attempt, body.Tokens, until); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	s.reservationFencingTokens[body.Attempt] = body.FencingToken
	writeJSON(w, struct{}{})
}

func (s *Server) release(w http.ResponseWriter, r *http.Request) {
	var body engine.ReleaseRequest
	if !readJSON(w, r, &body) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rejectsFencingToken(body.FencingToken) {
		http.Error(w, "old fence", http.StatusPreconditionFailed)
		return
	}
	for j, c := range s.streams {
		if j.ID == body.Attempt {
			close(c)
			delete(s.streams, j)
		}
	}
	s.engine.Release(body.Attempt)
	delete(s.reservationFencingTokens, body.Attempt)
	s.signalWork()
	writeJSON(w, struct{}{})
}

func (s *Server) reservations(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []engine.Reservation{}
	for _, id := range s.engine.Reservations() {
		out = append(out, engine.Reservation{Attempt: id, FencingToken: s.reservationFencingTokens[id]})
	}
	writeJSON(w, out)
}

func (s *Server) prefill(w http.ResponseWriter, r *http.Request) {
	var body engine.PrefillRequest
	if !readJSON(w, r, &body) {
		return
	}
	handle, _, err := answer.Extend(body.Handle, body.Prompt)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	j := &batch.Job{ID: body.Attempt, Prompt: prompt.CountTokens(body.Prompt), Priority: body.Priority, PrefillOnly: true}
	c, status := s.submit(j, body.FencingToken)
	if status != http.StatusOK {
		http.Error(w, "not taken", status)
		return
	}
	defer s.removeJob(j)
	select {
	case <-r.Context().Done():
	case _, ok := <-c:
		if !ok {
			panic(http.ErrAbortHandler)
		}
		s.mu.Lock()
		delete(s.streams, j)
		s.mu.Unlock()
		writeJSON(w, engine.PrefillResponse{Handle: handle})
	}
}

func (s *Server) reportLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, s.delayedLoad())
}

func (s *Server) reportEvents(w http.ResponseWriter, r *http.Request) {
	var after uint64
	// A missing or invalid number stays zero, which returns all events.
	_ = json.Unmarshal([]byte(r.FormValue("after")), &after)
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []engine.EvictionEvent{}
	for _, e := range s.events {
		if e.Sequence > after {
			out = append(out, e)
		}
	}
	writeJSON(w, out)
}

func (s *Server) reportState(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.state
	out.ExcessRequests, out.OverloadRestarts = s.engine.ExcessRequests, s.engine.OverloadRestarts
	out.MemoryUsed, out.Cold = s.engine.MemoryUsed(), s.engine.Cold()
	out.Reservations = len(s.engine.Reservations())
	out.Running = len(s.streams)
	writeJSON(w, out)
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
