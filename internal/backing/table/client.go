// Package table is the client of the transactional table service: JSON over
// HTTP, GET /row?key=, GET /rows?prefix=, POST /write.
package table

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/gravitational/trace"
	"github.com/rcrowley/go-metrics"

	"snipeford"
)

// timeout is the timeout of one request to the table.
const timeout = 1 * time.Second

// maxResponseBytes is the maximum length of a response, in bytes.
const maxResponseBytes = 16 << 20

// WriteRequest is the body of POST /write.
type WriteRequest struct {
	Writes []RowWrite
}

// WriteResponse is the body of the response to POST /write.
type WriteResponse struct{ Version uint64 }

// RowWrite is one conditional write. A nil Value deletes the row.
type RowWrite struct {
	Key        string
	Value      []byte
	IfVersion  uint64
	TTLSeconds float64
}

// Client sends requests to the table service at Address, such as "http://10.0.0.1:7000".
type Client struct {
	Address string
	HTTP    *http.Client
	Reads   metrics.Counter
	Writes  metrics.Counter
}

// New returns a client that counts its requests in the registry.
func New(address string, client *http.Client, registry metrics.Registry) *Client {
	return &Client{
		Address: address,
		HTTP:    client,
		Reads:   metrics.GetOrRegisterCounter("Table.Reads", registry),
		Writes:  metrics.GetOrRegisterCounter("Table.Writes", registry),
	}
}

// Get returns the row of a key, or a row of version zero if there is none.
func (c *Client) Get(ctx context.Context, key string) (snipeford.Row, error) {
	var row snipeford.Row
	err := c.read(ctx, "/row?key="+url.QueryEscape(key), &row)
	return row, err
}

// Scan returns the rows whose keys start with the prefix.
func (c *Client) Scan(ctx context.Context, prefix string) ([]snipeford.Row, error) {
	var rows []snipeford.Row
	err := c.read(ctx, "/rows?prefix="+url.QueryEscape(prefix), &rows)
	return rows, err
}

// Write applies all writes or none, and returns the version of the written rows.
func (c *Client) Write(ctx context.Context, writes ...snipeford.RowWrite) (uint64, error) {
	c.Writes.Inc(1)
	var body WriteRequest
	for _, w := range writes {
		body.Writes = append(body.Writes, RowWrite{w.Key, w.Value, w.IfVersion, w.TTL.Seconds()})
	}
	raw, err := json.Marshal(body)
	if err != nil {
		return 0, fmt.Errorf("encode table write: %w", trace.Wrap(err))
	}
	var written WriteResponse
	err = c.call(ctx, http.MethodPost, "/write", raw, &written)
	return written.Version, err
}

func (c *Client) read(ctx context.Context, path string, into any) error {
	c.Reads.Inc(1)
	return c.call(ctx, http.MethodGet, path, nil, into)
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.Address+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("build table request: %w", trace.Wrap(err))
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return fmt.Errorf("send table request: %w: %w", snipeford.ErrUnavailable, err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("read table response: %w: %w", snipeford.ErrUnavailable, err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		return fmt.Errorf("write table rows: %w", snipeford.ErrConflict)
	default:
		return fmt.Errorf("table responded with status %d: %w", resp.StatusCode, snipeford.ErrUnavailable)
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return fmt.Errorf("decode table response: %w: %w", snipeford.ErrUnavailable, err)
	}
	return nil
}
