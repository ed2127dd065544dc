package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
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
	// Remarks are figures of the checks of the run's variant.
	Remarks []string
	// maxRuns is how often a request may run, by its id: not at all if it had a bad key or
	// was refused, and once on routes that must not run a request twice.
	maxRuns   map[string]int
	exchanges []exchange
	// cutCount holds the requests served beside cuts.
	cutCount cutCount
	mu       sync.Mutex
}

func (r *Report) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

func (r *Report) addViolation(format string, values ...any) {
	r.update(func() { r.Violations = append(r.Violations, fmt.Sprintf(format, values...)) })
}

func (r *Report) addRemark(format string, values ...any) {
	r.update(func() { r.Remarks = append(r.Remarks, fmt.Sprintf(format, values...)) })
}

func (r *Report) increment(counter *int) { r.update(func() { *counter++ }) }

// String returns the report as one line, which prints Completed as whole and
// Truncated as broken.
func (r *Report) String() string {
	return fmt.Sprintf("seed %d: sent %d, whole %d, broken %d, refused %d, failed %d, faults %v, violations %d",
		r.Seed, r.Sent, r.Completed, r.Truncated, r.Refused, r.Failed, r.Faults, len(r.Violations))
}

const callTimeout = 4 * time.Second

// runClient sends requests until ctx ends. It keeps its connections open until the
// node closes them.
func (f *fleet) runClient(ctx context.Context, number int, r *Report) {
	rng := f.random(100 + number)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: callTimeout}
	for n := 0; ctx.Err() == nil; n++ {
		q := newRequest(rng, fmt.Sprintf("s%d-c%d-%d", f.plan.Seed, number, n), number, "safe", "unsafe", "unsafe", "once", "stream", "stream")
		q.timeout = callTimeout
		address := f.randomNode(rng).callerAddress
		if rng.IntN(50) == 0 {
			q.key = badKey
		}
		if q.send(client, address, r) {
			sleepRandom(ctx, rng, 250, 400)
		}
		sleepRandom(ctx, rng, 5, 40)
	}
}

// send sends the request and checks the response. It reports whether the response
// asks the client to retry later.
func (q request) send(client *http.Client, address string, r *Report) bool {
	req, err := q.encode(address)
	if err != nil {
		r.addViolation("%v", err)
		return false
	}
	r.recordSent(q)
	resp, err := client.Do(req)
	if err != nil {
		r.increment(&r.Failed)
		return false
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	r.checkResponse(q, resp, string(got), err)
	return resp.Header.Get("Retry-After") != ""
}

func (r *Report) recordSent(q request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !q.probe {
		r.Sent++
	}
	switch {
	case q.key == badKey:
		r.maxRuns[q.id] = 0
	case q.route == "unsafe" || q.route == "once":
		r.maxRuns[q.id] = 1
	}
}

// checkResponse checks that a response belongs to its request and, if it is
// complete, that the replica signed it.
func (r *Report) checkResponse(q request, resp *http.Response, body string, err error) {
	switch {
	case resp.StatusCode == http.StatusOK && err != nil:
		r.increment(&r.Truncated)
		if !strings.HasPrefix(q.completeBody(), trimPartialEvent(body)) {
			r.addViolation("%s: truncated body %q is not a prefix of the expected body", q.id, body)
		}
	case resp.StatusCode == http.StatusOK:
		if !q.probe {
			r.increment(&r.Completed)
		}
		if body != q.completeBody() {
			r.addViolation("%s: complete body %q differs from the expected body", q.id, body)
		}
		if !standin.Signed(resp.Header, q.id) {
			r.addViolation("%s: response has no valid signature of the replica", q.id)
		}
	case meansNotRun(resp.StatusCode):
		r.update(func() { r.Refused++; r.maxRuns[q.id] = 0 })
	default:
		r.increment(&r.Failed)
	}
}

func meansNotRun(status int) bool {
	return slices.Contains([]int{http.StatusUnauthorized, http.StatusNotFound, http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}, status)
}

// trimPartialEvent removes what follows the last complete event.
func trimPartialEvent(text string) string {
	return text[:strings.LastIndex(text, "\n\n")+len("\n\n")*min(1, strings.Count(text, "\n\n"))]
}

func (q request) completeBody() string {
	if !q.isStream() {
		return standin.ResponseBody(q.id)
	}
	return standin.StreamBody(q.id, q.work)
}
