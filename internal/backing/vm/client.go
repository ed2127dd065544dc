// Package vm is the client of the VM list, which contains the running and leaving VMs
// and lags behind their actual state. GET /vms returns it as JSON, with an entity tag
// so that an unchanged list is not transferred again.
package vm

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"snipeford"
)

const timeout = 2 * time.Second

// Client reads the list at Address. Read must not be called concurrently.
type Client struct {
	Address string
	HTTP    *http.Client
	etag    string
}

// Read returns the list, or false if it has not changed since the last Read.
func (c *Client) Read(ctx context.Context) ([]snipeford.Upstream, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.Address+"/vms", nil)
	if err != nil {
		return nil, false, fmt.Errorf("build VM list request: %w", trace.Wrap(err))
	}
	req.Header.Set("If-None-Match", c.etag)
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, false, fmt.Errorf("request VM list: %w", trace.Wrap(err))
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified {
		return nil, false, nil
	}
	if resp.StatusCode != http.StatusOK {
		return nil, false, fmt.Errorf("read VM list: %w", trace.ConnectionProblem(nil, "status %d", resp.StatusCode))
	}
	var list []snipeford.Upstream
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return nil, false, fmt.Errorf("decode VM list: %w", trace.Wrap(err))
	}
	c.etag = resp.Header.Get("ETag")
	return list, true, nil
}
