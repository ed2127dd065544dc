package edge

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/gravitational/trace"

	"snipeford"
	"snipeford/internal/control/directory"
)

// decided logs new decisions on prefix parts, and has all of them written to the
// store. The control goroutine calls it.
func (n *Node) decided(changes, all []snipeford.Quarantine) {
	for _, q := range changes {
		n.counts.QuarantineDecided(q.Released)
		subject, decision := "prefix part", "quarantined"
		if q.Part.IsRequest() {
			subject = "request"
		}
		if q.Released {
			decision = "released"
		}
		message := subject + " " + decision
		n.log.Info(message, "Service", q.Service, "Part", q.Part, "Generation", q.Generation, "Trials", q.Trials, "Upstreams", q.Upstreams)
	}
	select {
	case <-n.quarantines:
		// The list that is replaced has not been written yet.
	default:
	}
	n.quarantines <- all
}

// storeQuarantines writes the decisions to the store, so that all nodes learn of them
// and they outlive the nodes.
func (n *Node) storeQuarantines(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case all := <-n.quarantines:
			value, err := json.Marshal(all)
			if err != nil {
				return fmt.Errorf("encode quarantines: %w", trace.Wrap(err))
			}
			n.put(ctx, directory.QuarantineKey(n.self.Node), value, "cannot store quarantines")
		}
	}
}

// put writes a row to the store, and retries until the store accepts it. It reports
// whether the row was written.
func (n *Node) put(ctx context.Context, key string, value []byte, warning string) bool {
	backoff := initialBackoff
	for ctx.Err() == nil {
		err := n.platform.Feed.Put(ctx, key, value)
		if err == nil {
			return true
		}
		n.log.Warn(warning, err)
		n.timer.Sleep(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
	return false
}
