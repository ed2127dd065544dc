// Package member reads and writes the rows of the table by which nodes know
// each other: one lease row a node, one home row a group.
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

// Prefixes of the rows.
const (
	leasePrefix = "Lease/"
	homePrefix  = "Home/"
	// keepLease is how long the table keeps the row of a node that is gone.
	keepLease = 10 * time.Minute
)

// Store keeps this node's rows. Renew may be called by one goroutine at a time.
type Store struct {
	Table   snipeford.Table
	mu      sync.Mutex
	version uint64
}

// RenewLease rewrites this node's lease row. ErrConflict says that another process
// with this node's name took it.
func (k *Store) RenewLease(ctx context.Context, m snipeford.Member) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	err := k.write(ctx, m)
	if !errors.Is(err, snipeford.ErrConflict) {
		return err
	}
	// The row is that of an earlier process of this node, or a renewal of this
	// process took effect though its answer was lost.
	row, err := k.Table.Get(ctx, leasePrefix+string(m.Node))
	if err != nil {
		return fmt.Errorf("read own lease: %w", err)
	}
	if k.version > 0 && !sameIncarnation(row, m) {
		return fmt.Errorf("lease of %s was taken: %w", m.Node, snipeford.ErrConflict)
	}
	k.version = row.Version
	return k.write(ctx, m)
}

func sameIncarnation(row snipeford.Row, m snipeford.Member) bool {
	var found snipeford.Member
	return row.Version > 0 && json.Unmarshal(row.Value, &found) == nil && found.Incarnation == m.Incarnation
}

func (k *Store) write(ctx context.Context, m snipeford.Member) error {
	raw, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode lease: %w", trace.Wrap(err))
	}
	w := snipeford.RowWrite{Key: leasePrefix + string(m.Node), Value: raw, IfVersion: k.version, TTL: keepLease}
	version, err := k.Table.Write(ctx, w)
	if err != nil {
		return fmt.Errorf("write lease: %w", err)
	}
	k.version = version
	return nil
}

// DeleteLease deletes this node's lease row, so that others need not wait for it to
// lapse.
func (k *Store) DeleteLease(ctx context.Context, n snipeford.NodeID) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, err := k.Table.Write(ctx, snipeford.RowWrite{Key: leasePrefix + string(n), IfVersion: k.version})
	if err != nil {
		return fmt.Errorf("drop lease: %w", err)
	}
	return nil
}

// ReadMembership scans the lease rows and the home rows.
func (k *Store) ReadMembership(ctx context.Context) ([]snipeford.LeaseRow, []snipeford.HomeRow, error) {
	rows, err := k.Table.Scan(ctx, leasePrefix)
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
	rows, err = k.Table.Scan(ctx, homePrefix)
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

// homeValue is the content of a home row; its key holds the group.
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

// SetHome writes a home row on the condition that it still has h's version. It
// returns the row as it stands, and whether it is h's. A lost answer is
// resolved by reading back.
func (k *Store) SetHome(ctx context.Context, h snipeford.HomeRow) (snipeford.HomeRow, bool, error) {
	raw, err := json.Marshal(homeValue{h.Group, h.Node, h.Incarnation, h.Fence})
	if err != nil {
		return h, false, fmt.Errorf("encode home: %w", trace.Wrap(err))
	}
	version, err := k.Table.Write(ctx, snipeford.RowWrite{Key: homeKey(h.Group), Value: raw, IfVersion: h.RowVersion})
	if err == nil {
		h.RowVersion = version
		return h, true, nil
	}
	row, readErr := k.Table.Get(ctx, homeKey(h.Group))
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
