package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"snipeford"
	"snipeford/internal/control/timer"
	"snipeford/internal/emulate/answer"
	"snipeford/internal/experiment/arrival"
)

// Result is the outcome of a request as seen by its caller.
type Result struct {
	Request arrival.Request
	// Status is the HTTP status of the last response, or zero if there was none.
	Status int
	// TimeToFirstToken is the time from the start of the request to the first token
	// of a completion, or zero if there was none.
	TimeToFirstToken time.Duration
	// Duration is the time from the start of the request to its end, including
	// resumes.
	Duration time.Duration
	// Gaps holds the times between consecutive tokens.
	Gaps []time.Duration
	// Cause is the cause of a refusal, or the error if the request could not be
	// built.
	Cause   string
	Outcome snipeford.Outcome
	// RequestID is the request ID that the node returned last for a completion.
	RequestID string
	// Complete is set if the response was complete and had the expected content,
	// and Corrupt if it ended normally but had other content.
	Complete bool
	Corrupt  bool
	// Disconnected is set if the caller received neither a complete response nor a
	// refusal, for example because the connection ended early.
	Disconnected bool
	// Resumes counts the connections of a completion after the first one.
	Resumes        int
	IdempotencyKey string
}

// Client sends requests as a caller does.
type Client struct {
	HTTP    *http.Client
	Timer   *timer.Clock
	Pick    func() string
	Model   snipeford.Model
	Service snipeford.ServiceName
	// OrderPath and LookupPath are paths of the service.
	OrderPath, LookupPath string
	// KeyOf returns the API key of an organisation.
	KeyOf func(snipeford.Organisation) string
	// IdempotencyKeyPrefix makes the idempotency keys of this run unique.
	IdempotencyKeyPrefix string
	// MaxResumes is the maximum number of times that an interrupted stream is
	// resumed at another node.
	MaxResumes int
}

// Timeouts after which callers cancel a request.
const (
	completionTimeout = 122 * time.Second
	serviceTimeout    = 7 * time.Second
)

func timeoutFor(k arrival.Kind) time.Duration {
	if k == arrival.Completion {
		return completionTimeout
	}
	return serviceTimeout
}

// Do sends a request and waits for its end.
func (c *Client) Do(ctx context.Context, q arrival.Request) Result {
	ctx, cancel := context.WithTimeout(ctx, timeoutFor(q.Kind))
	defer cancel()
	start := c.Timer.Now()
	var r Result
	switch q.Kind {
	case arrival.Completion:
		r = c.complete(ctx, q, start)
	case arrival.Order:
		key := c.IdempotencyKeyPrefix + "-" + strconv.Itoa(q.Number)
		r = c.callService(ctx, q, http.MethodPost, c.OrderPath, key)
	case arrival.Lookup:
		r = c.callService(ctx, q, http.MethodGet, c.LookupPath, "")
	}
	r.Request = q
	r.Duration = c.Timer.Now().Sub(start)
	return r
}

type completionBody struct {
	Model     snipeford.Model  `json:"model"`
	Prompt    string           `json:"prompt"`
	MaxTokens snipeford.Tokens `json:"max_tokens"`
	Stream    bool             `json:"stream"`
}

// completion is the state of a streamed response across all its connections.
type completion struct {
	text        strings.Builder
	lastEventID string
	result      Result
	ended       bool
	lastTokenAt snipeford.Instant
}

func (c *Client) complete(ctx context.Context, q arrival.Request, start snipeford.Instant) Result {
	text := q.Text()
	body, err := json.Marshal(completionBody{c.Model, text, q.MaxOutput, true})
	if err != nil {
		return Result{Disconnected: true, Cause: err.Error()}
	}
	s := &completion{}
	for try := 0; try <= c.MaxResumes && !s.ended; try++ {
		if try > 0 {
			s.result.Resumes++
			c.Timer.Sleep(ctx, 100*time.Millisecond)
		}
		c.stream(ctx, q, body, s, start)
	}
	r := s.result
	r.Disconnected = !s.ended
	want := answer.Of(text).Text(q.MaxOutput)
	r.Complete = s.ended && r.Cause == "" && s.text.String() == want
	r.Corrupt = s.ended && r.Cause == "" && s.text.String() != want
	return r
}

func (c *Client) request(ctx context.Context, q arrival.Request, method, path string, body []byte) (*http.Request, error) {
	node := c.Pick()
	if node == "" {
		return nil, errors.New("no node is ready")
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+node+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+c.KeyOf(q.Organisation))
	return req, nil
}

func (c *Client) stream(ctx context.Context, q arrival.Request, body []byte, s *completion, start snipeford.Instant) {
	req, err := c.request(ctx, q, http.MethodPost, "/v1/completions", body)
	if err != nil {
		return
	}
	if s.lastEventID != "" {
		req.Header.Set("Last-Event-ID", s.lastEventID)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	s.result.Status = resp.StatusCode
	s.result.RequestID = resp.Header.Get("Snipeford-Request")
	if resp.StatusCode != http.StatusOK {
		s.ended = readRefusal(resp, &s.result)
		return
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, 1<<20)
	isError := false
	for lines.Scan() {
		line := lines.Text()
		switch {
		case line == "event: error":
			isError = true
		case strings.HasPrefix(line, "id: "):
			s.lastEventID = line[len("id: "):]
		case line == "data: [DONE]":
			s.ended = true
			return
		case strings.HasPrefix(line, "data: ") && isError:
			s.ended = decodeRefusal([]byte(line[len("data: "):]), &s.result)
			return
		case strings.HasPrefix(line, "data: "):
			s.addToken(line[len("data: "):], c.Timer.Now(), start)
		}
	}
}

func (s *completion) addToken(data string, now, start snipeford.Instant) {
	var body struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(data), &body); err != nil || len(body.Choices) == 0 || body.Choices[0].Text == "" {
		return
	}
	s.text.WriteString(body.Choices[0].Text)
	if s.result.TimeToFirstToken == 0 {
		s.result.TimeToFirstToken = now.Sub(start)
	} else {
		s.result.Gaps = append(s.result.Gaps, now.Sub(s.lastTokenAt))
	}
	s.lastTokenAt = now
}

func readRefusal(resp *http.Response, r *Result) bool {
	raw, err := io.ReadAll(resp.Body)
	return err == nil && decodeRefusal(raw, r)
}

func decodeRefusal(raw []byte, r *Result) bool {
	var body struct {
		Error struct {
			Cause   string            `json:"cause"`
			Outcome snipeford.Outcome `json:"outcome"`
		} `json:"error"`
	}
	if err := json.Unmarshal(raw, &body); err != nil || body.Error.Cause == "" {
		return false
	}
	r.Cause, r.Outcome = body.Error.Cause, body.Error.Outcome
	return true
}

// callService sends a request to a plain service.
func (c *Client) callService(ctx context.Context, q arrival.Request, method, path, key string) Result {
	var body []byte
	if key != "" {
		body = []byte(fmt.Sprintf(`{"Item":"mineral oil","Order":%d}`, q.Number))
	}
	r := Result{Disconnected: true, IdempotencyKey: key}
	req, err := c.request(ctx, q, method, "/services/"+string(c.Service)+path, body)
	if err != nil {
		r.Cause = err.Error()
		return r
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
		req.GetBody = nil
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return r
	}
	defer resp.Body.Close()
	r.Disconnected = false
	r.Status = resp.StatusCode
	r.Outcome = snipeford.Outcome(resp.Header.Get(snipeford.OutcomeHeader))
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		r.Disconnected = true
		return r
	}
	if resp.StatusCode != http.StatusOK {
		decodeRefusal(raw, &r)
		return r
	}
	r.Complete = key == "" || strings.Contains(string(raw), strconv.Quote(key))
	r.Corrupt = !r.Complete
	return r
}
