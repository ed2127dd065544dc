package settings

import (
	"bytes"
	"context"
	"os"
	"time"

	"snipeford/internal/control/timer"
)

// watchInterval is how often the settings file is read again without a signal. With it, a
// changed bound on revocation is in force well within the shortest bound, one second.
const watchInterval = 500 * time.Millisecond

// Watcher reads a node's settings file again when a signal arrives and at intervals, since
// the file may also change without a signal.
type Watcher struct {
	Path  string
	Timer *timer.Clock
	// Signals has a value for each signal that the file has changed.
	Signals <-chan os.Signal
	// Changed is called with the settings of a changed file, and Failed with the error of
	// one that cannot be used.
	Changed func(Edge)
	Failed  func(error)

	last []byte
}

// Run watches the file until ctx ends. The settings that are in force at its start are
// those of the file as it was then.
func (w *Watcher) Run(ctx context.Context, initial []byte) {
	w.last = initial
	ticks := w.Timer.Every(ctx, watchInterval)
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.Signals:
		case <-ticks:
		}
		w.check()
	}
}

// check reads the file and reports its settings if it has changed. A file that cannot be
// read is not reported: it may be in the middle of its replacement.
func (w *Watcher) check() {
	data, err := os.ReadFile(w.Path)
	if err != nil || bytes.Equal(data, w.last) {
		return
	}
	w.last = data
	s, err := ParseEdge(w.Path, data)
	if err != nil {
		w.Failed(err)
		return
	}
	w.Changed(s)
}
