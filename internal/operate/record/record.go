// Package record keeps the decisions about recent requests in memory, for the
// explain verb. It never records prompt text or keys.
package record

import (
	"fmt"
	"sync"
	"time"

	"snipeford"
	"snipeford/internal/control/timer"
)

// maxRequests is the number of requests that are kept.
const maxRequests = 4_096

// History holds the steps of the most recent requests.
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

// Add records a step of a request.
func (h *History) Add(id snipeford.RequestID, format string, values ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.steps == nil {
		h.steps = map[snipeford.RequestID][]step{}
	}
	if _, ok := h.steps[id]; !ok {
		h.order = append(h.order, id)
		h.dropOldest()
	}
	h.steps[id] = append(h.steps[id], step{h.Timer.Wall(), fmt.Sprintf(format, values...)})
}

func (h *History) dropOldest() {
	if len(h.order) <= maxRequests {
		return
	}
	delete(h.steps, h.order[0])
	h.order = h.order[1:]
}

// Lines returns the steps of a request in order, each with its time.
func (h *History) Lines(id snipeford.RequestID) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []string
	for _, s := range h.steps[id] {
		out = append(out, s.at.Format("15:04:05.000")+" "+s.text)
	}
	return out
}
