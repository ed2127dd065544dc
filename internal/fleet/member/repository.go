// Package member reads and writes the membership rows of the platform's table:
// one lease row per node and one home row per group.
package member

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"snipeford"
)

// Key prefixes of the rows.
const (
	leasePrefix = "Lease/"
	homePrefix  = "Home/"
	// leaseRowTTL is how long the table keeps the row of a node that no longer
	// renews it.
	leaseRowTTL = 10 * time.Minute
)

// Repository reads the lease and home rows of all nodes, and writes this node's
// lease row and the home rows. Its mutex guards leaseVersion, so that Renew and
// DeleteLease run one at a time.
type Repository struct {
	Table        snipeford.Table
	mu           sync.Mutex
	leaseVersion uint64
}

// Renew rewrites this node's lease row. It returns ErrConflict if another
// process with this node's name has taken the row.
func (r *Repository) Renew(ctx context.Context, m snipeford.Member) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	err := r.writeLease(ctx, m)
	if !errors.Is(err, snipeford.ErrConflict) {
		return err
	}
	// The row was written by an earlier process of this node, or by a renewal of
	// this process whose response was lost.
	row, err := r.Table.Get(ctx, leasePrefix+string(m.Node))
	if err != nil {
		return fmt.Errorf("read own lease: %w", err)
	}
	if r.leaseVersion > 0 && !sameIncarnation(row, m) {
		return fmt.Errorf("lease of %s was taken by another process: %w", m.Node, snipeford.ErrConflict)
	}
	r.leaseVersion = row.Version
	return r.writeLease(ctx, m)
}

func sameIncarnation(row snipeford.Row, m snipeford.Member) bool {
	var found snipeford.Member
	return row.Version > 0 && json.Unmarshal(row.Value, &found) == nil && found.Incarnation == m.Incarnation
}

func (r *Repository) writeLease(ctx context.Context, m snipeford.Member) error {
	raw, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode lease: %w", trace.Wrap(err))
	}
	w := snipeford.RowWrite{Key: leasePrefix + string(m.Node), Value: raw, IfVersion: r.leaseVersion, TTL: leaseRowTTL}
	version, err := r.Table.Write(ctx, w)
	if err != nil {
		return fmt.Errorf("write lease: %w", err)
	}
	r.leaseVersion = version
	return nil
}

// DeleteLease deletes this node's lease row, so that other nodes need not wait
// for the lease to expire.
func (r *Repository) DeleteLease(ctx context.Context, n snipeford.NodeID) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, err := r.Table.Write(ctx, snipeford.RowWrite{Key: leasePrefix + string(n), IfVersion: r.leaseVersion})
	if err != nil {
		return fmt.Errorf("delete lease: %w", err)
	}
	return nil
}

// ReadMembership scans the lease rows and the home rows.
func (r *Repository) ReadMembership(ctx context.Context) ([]snipeford.LeaseRow, []snipeford.HomeRow, error) {
	rows, err := r.Table.Scan(ctx, leasePrefix)
	if err != nil {
		return nil, nil, fmt.Errorf("scan leases: %w", err)
	}
	var leases []snipeford.LeaseRow
	for _, row := range rows {
		var m snipeford.Member
		if err := json.Unmarshal(row.Value, &m); err != nil {
			return nil, nil, fmt.Errorf("decode lease %s: %w", row.Key, trace.Wrap(err))
		}
		leases = append(leases, snipeford.LeaseRow{Member: m, RowVersion: row.Version})
	}
	rows, err = r.Table.Scan(ctx, homePrefix)
	if err != nil {
		return nil, nil, fmt.Errorf("scan homes: %w", err)
	}
	var homes []snipeford.HomeRow
	for _, row := range rows {
		h, err := decodeHome(row)
		if err != nil {
			return nil, nil, err
		}
		homes = append(homes, h)
	}
	return leases, homes, nil
}

// homeValue is the value of a home row. The key of the row names the group.
type homeValue struct {
	Group       snipeford.Group
	Node        snipeford.NodeID
	Incarnation snipeford.Incarnation
	Fence       snipeford.FencingToken
}

func decodeHome(row snipeford.Row) (snipeford.HomeRow, error) {
	var v homeValue
	if err := json.Unmarshal(row.Value, &v); err != nil {
		return snipeford.HomeRow{}, fmt.Errorf("decode home %s: %w", row.Key, trace.Wrap(err))
	}
	return snipeford.HomeRow{Group: v.Group, Node: v.Node, Incarnation: v.Incarnation, Fence: v.Fence, RowVersion: row.Version}, nil
}

func homeKey(g snipeford.Group) string {
	return homePrefix + strings.ReplaceAll(g.String(), "/", ":")
}

// SetHome writes h if the home row still has the version of h. It returns the
// current row and whether that row is h. If the write fails, it reads the row to
// determine whether the write took effect, as its response may have been lost.
func (r *Repository) SetHome(ctx context.Context, h snipeford.HomeRow) (snipeford.HomeRow, bool, error) {
	raw, err := json.Marshal(homeValue{h.Group, h.Node, h.Incarnation, h.Fence})
	if err != nil {
		return h, false, fmt.Errorf("encode home: %w", trace.Wrap(err))
	}
	version, err := r.Table.Write(ctx, snipeford.RowWrite{Key: homeKey(h.Group), Value: raw, IfVersion: h.RowVersion})
	if err == nil {
		h.RowVersion = version
		return h, true, nil
	}
	row, readErr := r.Table.Get(ctx, homeKey(h.Group))
	if readErr != nil || row.Version == 0 {
		return h, false, fmt.Errorf("write home of %s: %w", h.Group, err)
	}
	found, err := decodeHome(row)
	if err != nil {
		return h, false, err
	}
	won := found.Node == h.Node && found.Incarnation == h.Incarnation && found.Fence == h.Fence
	return found, won, nil
}
