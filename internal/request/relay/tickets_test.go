package relay

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"snipeford"
	"snipeford/internal/control/directory"
	"snipeford/internal/control/timer"
	"snipeford/internal/operate/decision"
)

// memory notes when tickets were renewed. Orders to an engine that is gone get
// no answer.
type memory struct {
	timer *timer.Clock

	mu      sync.Mutex
	gone    snipeford.UpstreamID
	renewed map[snipeford.UpstreamID]snipeford.Instant
	freed   map[snipeford.UpstreamID]bool
}

// orderTimeout is how long an order without an answer takes.
const orderTimeout = 500 * time.Millisecond

func (m *memory) Reserve(_ context.Context, u snipeford.Upstream, _ string, _ snipeford.Tokens, _ time.Duration) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if u.ID == m.gone {
		m.mu.Unlock()
		time.Sleep(orderTimeout)
		m.mu.Lock()
		return snipeford.ErrUnavailable
	}
	m.renewed[u.ID] = m.timer.Now()
	return nil
}

func (m *memory) Release(_ context.Context, u snipeford.Upstream, _ string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.freed[u.ID] = true
	return nil
}

func (m *memory) InUse(context.Context, snipeford.Upstream, string) (bool, error) { return true, nil }

func (m *memory) lose(id snipeford.UpstreamID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gone = id
}

func (m *memory) renewedAt(id snipeford.UpstreamID) snipeford.Instant {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.renewed[id]
}

func reserveAt(t *testing.T, m *memory, ids ...snipeford.UpstreamID) *tickets {
	t.Helper()
	c := &call{
		Server: &Server{Timer: m.timer, Reservations: m, Log: decision.New("n", log.InfoLevel, m.timer)},
		ctx:    t.Context(),
	}
	var engines []directory.Upstream
	for _, id := range ids {
		engines = append(engines, directory.Upstream{Upstream: snipeford.Upstream{ID: id}})
	}
	held, _, err := c.reserve(engines, 1_000, func(error) {})
	if err != nil {
		t.Fatal(err)
	}
	return held
}

// TestMemoryAtHelpersOfALostEngine answers the silent loss of an engine in the
// middle of a prompt that spans several: its connection breaks seconds later.
func TestMemoryAtHelpersOfALostEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memory{timer: &timer.Clock{}, renewed: map[snipeford.UpstreamID]snipeford.Instant{}, freed: map[snipeford.UpstreamID]bool{}}
		held := reserveAt(t, m, "first", "helper")
		time.Sleep(4 * renewEvery)
		if got := m.timer.Now().Sub(m.renewedAt("helper")); got > renewEvery {
			t.Errorf("got the last renewal %v ago, want one in the last %v", got, renewEvery)
		}
		lost := m.timer.Now()
		m.lose("first")
		time.Sleep(4 * time.Second)
		if got := m.renewedAt("helper").Add(ticketHold).Sub(lost); got > 4*time.Second {
			t.Errorf("got memory of the helper held for %v after the loss, want 4 s at most", got)
		}
		held.free()
		synctest.Wait()
		if !m.freed["helper"] {
			t.Error("got memory of the helper not freed, want it freed")
		}
	})
}
