package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"snipeford/platform/standin"
)

// Report is what a run saw.
type Report struct {
	Seed                                uint64
	Sent, Completed, Truncated, Refused int
	Failed                              int
	Faults                              map[string]int
	Violations                          []string
	promised, once                      []string
	mu                                  sync.Mutex
}

func (r *Report) violate(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Violations = append(r.Violations, fmt.Sprintf(format, values...))
}

// String returns the report as one line.
func (r *Report) String() string {
	return fmt.Sprintf("seed %d: sent %d, whole %d, broken %d, refused %d, failed %d, faults %v, violations %d",
		r.Seed, r.Sent, r.Completed, r.Truncated, r.Refused, r.Failed, r.Faults, len(r.Violations))
}

// callTimeout is the patience of a client.
const callTimeout = 4 * time.Second

// client sends requests until ctx ends. It keeps its connection as long as the
// node does.
func (f *fleet) client(ctx context.Context, number int, r *Report) {
	rng := rand.New(rand.NewPCG(f.plan.Seed, uint64(100+number)))
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	web := &http.Client{Transport: transport, Timeout: callTimeout}
	for n := 0; ctx.Err() == nil; n++ {
		path := []string{"safe", "unsafe", "unsafe", "once", "stream", "stream"}[rng.IntN(6)]
		id := fmt.Sprintf("s%d-c%d-%d", f.plan.Seed, number, n)
		if f.call(web, f.pick(rng).caller, path, id, rng.IntN(50) == 0, r) {
			pause(ctx, rng, 250, 400)
		}
		pause(ctx, rng, 5, 40)
	}
}

// call sends one request and checks its answer. It returns whether the caller
// was told to come back later.
func (f *fleet) call(web *http.Client, address, path, id string, badKey bool, r *Report) bool {
	body := bytes.Repeat([]byte("x"), 200)
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/"+path+"/q", io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		r.violate("%s: %v", id, err)
		return false
	}
	req.ContentLength = int64(len(body))
	req.Host = host
	req.Header = standin.RequestHeader(id, map[bool]string{true: "bad", false: "good"}[badKey], callTimeout)
	r.sent(id, path, badKey)
	resp, err := web.Do(req)
	if err != nil {
		r.count(&r.Failed)
		return false
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	r.check(id, path, resp, string(got), err)
	return resp.Header.Get("Retry-After") != ""
}

func (r *Report) sent(id, path string, badKey bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Sent++
	if badKey {
		r.promised = append(r.promised, id)
	}
	if path == "unsafe" || path == "once" {
		r.once = append(r.once, id)
	}
}

func (r *Report) count(n *int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*n++
}

// check compares an answer with what its caller was promised.
func (r *Report) check(id, path string, resp *http.Response, got string, err error) {
	switch {
	case resp.StatusCode == http.StatusOK && err != nil:
		r.count(&r.Truncated)
		if !strings.HasPrefix(whole(id, path), trimTorn(got)) {
			r.violate("%s: broken answer %q is no part of its own", id, got)
		}
	case resp.StatusCode == http.StatusOK:
		r.count(&r.Completed)
		if got != whole(id, path) {
			r.violate("%s: got %q as whole", id, got)
		}
		if !standin.Signed(resp.Header, id) {
			r.violate("%s: got no seal of its own", id)
		}
	case promises(resp.StatusCode):
		r.count(&r.Refused)
		r.mu.Lock()
		r.promised = append(r.promised, id)
		r.mu.Unlock()
	default:
		r.count(&r.Failed)
	}
}

func promises(status int) bool {
	switch status {
	case http.StatusUnauthorized, http.StatusNotFound, http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// trimTorn leaves out what follows the last whole event.
func trimTorn(text string) string {
	return text[:strings.LastIndex(text, "\n\n")+len("\n\n")*min(1, strings.Count(text, "\n\n"))]
}

// whole returns the whole answer to a request.
func whole(id, path string) string {
	if path != "once" && path != "stream" {
		return standin.ResponseBody(id)
	}
	var b strings.Builder
	for n := 1; n <= standin.EventsPerStream; n++ {
		b.WriteString(standin.Event(id, n))
	}
	return b.String()
}
