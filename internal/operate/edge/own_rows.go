package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"snipeford"
	"snipeford/internal/control/directory"
)

// rewriteSpread is the time for each node over which nodes spread the writes of their
// rows after the store has come back from a copy. Nodes write to one part of a table,
// which takes about 200 writes a second.
const rewriteSpread = 10 * time.Millisecond

// ownRow is a row that the node has written, and the era of the store then.
type ownRow struct {
	value []byte
	era   snipeford.Era
}

// writeRows writes the node's own row, then its decisions on prefix parts, so that all
// nodes learn of them and they outlive the nodes. It writes them again when the store has
// come back from a copy that lacks them.
func (n *Node) writeRows(ctx context.Context) error {
	self, err := json.Marshal(n.self)
	if err != nil {
		return fmt.Errorf("encode member row: %w", trace.Wrap(err))
	}
	written, marked := map[string]ownRow{}, snipeford.Era(0)
	if n.put(ctx, written, string(n.self.Node), self, "cannot register node") {
		n.log.Info("node registered", "Address", n.self.Address)
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case all := <-n.quarantines:
			value, err := json.Marshal(all)
			if err != nil {
				return fmt.Errorf("encode quarantines: %w", trace.Wrap(err))
			}
			n.put(ctx, written, directory.QuarantineKey(n.self.Node), value, "cannot store quarantines")
		case <-n.follower.membersRead:
			n.rewrite(ctx, written)
		case era := <-n.follower.unmarkedEras:
			if era <= marked {
				continue
			}
			if err := n.markEra(ctx, era); err != nil {
				return err
			}
			marked = era
		}
	}
}

// markSpread is the time over which the nodes that read the store, a few in each failure
// domain, spread the writes of an era mark. A node that starts before the mark is written
// waits for the operators: with 2 s, such nodes refused many requests with keys.
const markSpread = 200 * time.Millisecond

// markEra writes the era mark of an era, unless another node has.
func (n *Node) markEra(ctx context.Context, era snipeford.Era) error {
	if !n.timer.Sleep(ctx, rand.N(markSpread)) || n.follower.current().MarkedEra >= era {
		return nil
	}
	value, err := directory.EraMark(era)
	if err != nil {
		return err
	}
	if n.put(ctx, map[string]ownRow{}, directory.EraMarkKey, value, "cannot write era mark") {
		n.log.Info("era marked", "Era", era)
	}
	return nil
}

// rewrite writes the rows again that were written in an earlier era, if the store no
// longer has them as they were written.
func (n *Node) rewrite(ctx context.Context, written map[string]ownRow) {
	era := n.follower.known(snipeford.MemberRows).Era
	if !hasEarlier(written, era) {
		return
	}
	spread := rewriteSpread * time.Duration(1+len(n.follower.current().Peers))
	n.timer.Sleep(ctx, rand.N(spread))
	for key, row := range written {
		if row.era >= era || bytes.Equal(n.follower.value(snipeford.MemberRows, key), row.value) {
			continue
		}
		if n.put(ctx, written, key, row.value, "cannot write row again") {
			n.log.Info("row written again", "Key", key)
		}
	}
}

// hasEarlier reports whether a row was written before an era.
func hasEarlier(written map[string]ownRow, era snipeford.Era) bool {
	for _, row := range written {
		if row.era < era {
			return true
		}
	}
	return false
}

// put writes a row to the store, retries until the store accepts it, and then adds it to
// written. It reports whether the row was written.
func (n *Node) put(ctx context.Context, written map[string]ownRow, key string, value []byte, warning string) bool {
	backoff := initialBackoff
	for ctx.Err() == nil {
		era, err := n.platform.Feed.Put(ctx, key, value)
		if err == nil {
			written[key] = ownRow{value, era}
			return true
		}
		n.log.Warn(warning, err)
		n.timer.Sleep(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
	return false
}
