// Package record keeps what was decided about the latest requests, for the
// explain verb. It holds decisions only: no prompt text and no keys.
package record

import (
	"fmt"
	"sync"
	"time"

	"snipeford"
	"snipeford/internal/control/timer"
)

// kept is how many requests are remembered.
const kept = 4_096

// History remembers the steps of the latest requests.
type History struct {
	Timer *timer.Clock
	mu    sync.Mutex
	steps map[snipeford.RequestID][]step
	order []snipeford.RequestID
}

type step struct {
	at   time.Time
	text string
}

// Add notes one step of a request.
func (b *History) Add(id snipeford.RequestID, format string, values ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.steps == nil {
		b.steps = map[snipeford.RequestID][]step{}
	}
	if _, ok := b.steps[id]; !ok {
		b.order = append(b.order, id)
		b.trim()
	}
	b.steps[id] = append(b.steps[id], step{b.Timer.Wall(), fmt.Sprintf(format, values...)})
}

func (b *History) trim() {
	if len(b.order) <= kept {
		return
	}
	delete(b.steps, b.order[0])
	b.order = b.order[1:]
}

// Lines returns the steps of a request in their order, each with its time.
func (b *History) Lines(id snipeford.RequestID) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for _, s := range b.steps[id] {
		out = append(out, s.at.Format("15:04:05.000")+" "+s.text)
	}
	return out
}
