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

// Report holds the results of a run. Completed responses arrived in full,
// Truncated ones ended early, and Refused requests got a status that means that no
// replica ran them. All others count as Failed.
type Report struct {
	Seed                                uint64
	Sent, Completed, Truncated, Refused int
	Failed                              int
	Faults                              map[string]int
	Violations                          []string
	// mustNotRunIDs are the ids of the requests that had a bad key or were
	// refused. atMostOnceIDs are the ids of the requests to routes that must not
	// run a request twice.
	mustNotRunIDs, atMostOnceIDs []string
	mu                           sync.Mutex
}

func (r *Report) addViolation(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Violations = append(r.Violations, fmt.Sprintf(format, values...))
}

// String returns the report as one line, which prints Completed as whole and
// Truncated as broken.
func (r *Report) String() string {
	return fmt.Sprintf("seed %d: sent %d, whole %d, broken %d, refused %d, failed %d, faults %v, violations %d",
		r.Seed, r.Sent, r.Completed, r.Truncated, r.Refused, r.Failed, r.Faults, len(r.Violations))
}

// callTimeout is how long a client waits for a response.
const callTimeout = 4 * time.Second

// runClient sends requests until ctx ends. It keeps its connections open until the
// node closes them.
func (f *fleet) runClient(ctx context.Context, number int, r *Report) {
	rng := rand.New(rand.NewPCG(f.plan.Seed, uint64(100+number)))
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: callTimeout}
	for n := 0; ctx.Err() == nil; n++ {
		route := []string{"safe", "unsafe", "unsafe", "once", "stream", "stream"}[rng.IntN(6)]
		id := fmt.Sprintf("s%d-c%d-%d", f.plan.Seed, number, n)
		if f.sendRequest(client, f.randomNode(rng).callerAddress, route, id, rng.IntN(50) == 0, r) {
			sleepRandom(ctx, rng, 250, 400)
		}
		sleepRandom(ctx, rng, 5, 40)
	}
}

// sendRequest sends one request and checks the response. It reports whether the
// response asks the client to retry later.
func (f *fleet) sendRequest(client *http.Client, address, route, id string, badKey bool, r *Report) bool {
	body := bytes.Repeat([]byte("x"), 200)
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/"+route+"/q", io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		r.addViolation("%s: %v", id, err)
		return false
	}
	req.ContentLength = int64(len(body))
	req.Host = host
	req.Header = standin.RequestHeader(id, map[bool]string{true: "bad", false: "good"}[badKey], callTimeout)
	r.recordSent(id, route, badKey)
	resp, err := client.Do(req)
	if err != nil {
		r.increment(&r.Failed)
		return false
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	r.checkResponse(id, route, resp, string(got), err)
	return resp.Header.Get("Retry-After") != ""
}

func (r *Report) recordSent(id, route string, badKey bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Sent++
	if badKey {
		r.mustNotRunIDs = append(r.mustNotRunIDs, id)
	}
	if route == "unsafe" || route == "once" {
		r.atMostOnceIDs = append(r.atMostOnceIDs, id)
	}
}

func (r *Report) increment(counter *int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*counter++
}

// checkResponse checks that a response belongs to its request and, if it is
// complete, that the replica signed it.
func (r *Report) checkResponse(id, route string, resp *http.Response, body string, err error) {
	switch {
	case resp.StatusCode == http.StatusOK && err != nil:
		r.increment(&r.Truncated)
		if !strings.HasPrefix(completeBody(id, route), trimPartialEvent(body)) {
			r.addViolation("%s: truncated body %q is not a prefix of the expected body", id, body)
		}
	case resp.StatusCode == http.StatusOK:
		r.increment(&r.Completed)
		if body != completeBody(id, route) {
			r.addViolation("%s: complete body %q differs from the expected body", id, body)
		}
		if !standin.Signed(resp.Header, id) {
			r.addViolation("%s: response has no valid signature of the replica", id)
		}
	case meansNotRun(resp.StatusCode):
		r.increment(&r.Refused)
		r.mu.Lock()
		r.mustNotRunIDs = append(r.mustNotRunIDs, id)
		r.mu.Unlock()
	default:
		r.increment(&r.Failed)
	}
}

func meansNotRun(status int) bool {
	switch status {
	case http.StatusUnauthorized, http.StatusNotFound, http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// trimPartialEvent removes what follows the last complete event.
func trimPartialEvent(text string) string {
	return text[:strings.LastIndex(text, "\n\n")+len("\n\n")*min(1, strings.Count(text, "\n\n"))]
}

// completeBody returns the expected body of a complete response.
func completeBody(id, route string) string {
	if route != "once" && route != "stream" {
		return standin.ResponseBody(id)
	}
	return standin.StreamBody(id, standin.Work{})
}
