package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// answer is what a client saw of one request.
type answer struct {
	id, route    string
	node         *node
	sent, ended  time.Time
	status       int
	header       http.Header
	body         string
	complete     bool
	headAt       time.Time
	firstEventAt time.Time
	err          error
}

// request is a request of a client.
type request struct {
	id, method, host, path, key, prefix, tokens, body string
	deadline                                          time.Duration
	// patience is how long the client waits for the first byte of the body and between two.
	patience time.Duration
	header   http.Header
}

// do sends a request to a node over a client's connections and reads the answer.
func do(ctx context.Context, client *http.Client, n *node, q request) answer {
	a := answer{id: q.id, route: q.path, node: n, sent: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, q.deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+n.front+q.path, strings.NewReader(q.body))
	if err != nil {
		a.err = err
		return a
	}
	for name, values := range q.header {
		r.Header[name] = values
	}
	r.Host = q.host
	r.Header.Set("X-Request-Id", q.id)
	r.Header.Set("X-Request-Deadline", strconv.FormatInt(q.deadline.Milliseconds(), 10))
	if q.key != "" {
		r.Header.Set("Api-Key", q.key)
	}
	if q.tokens != "" {
		r.Header.Set("X-Model", "m")
		r.Header.Set("X-Token-Usage", q.tokens)
		r.Header.Set("X-Prompt-Prefix", q.prefix)
	}
	var impatient *time.Timer
	if q.patience > 0 {
		impatient = time.AfterFunc(q.patience, cancel)
		defer impatient.Stop()
	}
	resp, err := client.Do(r)
	if err != nil {
		a.err, a.ended = err, time.Now()
		return a
	}
	defer resp.Body.Close()
	a.status, a.header, a.headAt = resp.StatusCode, resp.Header, time.Now()
	var body bytes.Buffer
	chunk := make([]byte, 4096)
	for {
		got, err := resp.Body.Read(chunk)
		if got > 0 {
			if body.Len() == 0 {
				a.firstEventAt = time.Now()
			}
			body.Write(chunk[:got])
			if impatient != nil {
				impatient.Reset(q.patience)
			}
		}
		if err == io.EOF {
			a.complete = true
			break
		}
		if err != nil {
			a.err = err
			break
		}
	}
	a.body, a.ended = body.String(), time.Now()
	return a
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true, IdleConnTimeout: 12 * time.Second}}
}
