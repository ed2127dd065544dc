package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	host   = "review.example"
	apiKey = "k1"
	// passedOn is the header that a response of a replica has.
	passedOn = "X-Response-Seal"
)

// client sends requests to one machine over kept connections.
type client struct {
	record  *record
	http    *http.Client
	machine *machine
}

func newClient(m *machine) *client {
	return &client{m.fleet.record, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}, m}
}

var requestNumber atomic.Int64

func nextID() string { return fmt.Sprintf("%016x", 0x1000000+requestNumber.Add(1)) }

// result is what a client got for a request.
type result struct {
	id     string
	status int
	sealed bool
	body   string
	err    error
}

func (c *client) do(method, path string, deadline time.Duration) result {
	id := nextID()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+c.machine.callers()+path, nil)
	if err != nil {
		return result{id: id, err: err}
	}
	q.Host = host
	q.Header.Set("X-Request-Id", id)
	q.Header.Set("X-Request-Deadline", fmt.Sprint(deadline.Milliseconds()))
	q.Header.Set("Api-Key", apiKey)
	q.Header.Set("X-Model", "m")
	q.Header.Set("X-Token-Usage", "1000,50")
	q.Header.Set("X-Prompt-Prefix", "5c1e07a2:40,"+id[8:]+":960")
	c.record.add("sent", map[string]any{"request": id, "to": c.machine.name, "path": path})
	out := result{id: id}
	resp, err := c.http.Do(q)
	if err == nil {
		var raw []byte
		raw, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		out.status, out.sealed, out.body = resp.StatusCode, resp.Header.Get(passedOn) != "", string(raw)
	}
	out.err = err
	fields := map[string]any{"request": id, "status": out.status, "sealed": out.sealed}
	if err != nil {
		fields["error"] = err.Error()
	}
	c.record.add("answered", fields)
	return out
}
