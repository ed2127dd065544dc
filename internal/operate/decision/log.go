// Package decision writes the log of what a node decides: one JSON line each,
// to standard output. Writing never blocks: lines that come faster than they
// can be written, or faster than the rate, are dropped and counted.
package decision

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"

	"snipeford"
	"snipeford/internal/control/timer"
)

const (
	// queued bounds the lines that wait for the writer.
	queued = 1_024
	// linesPerSecond and burst bound the volume. A node answers some hundred
	// requests a second at most.
	linesPerSecond = 200
	burst          = 400
	// reportEvery is how often dropped lines are told.
	reportEvery = 5 * time.Second
)

// Log is the log of one node.
type Log struct {
	logger  *log.Logger
	lines   chan []byte
	limit   *rate.Limiter
	timer   *timer.Clock
	dropped atomic.Int64
}

// New returns a log of the node. Run has to write it.
func New(node snipeford.NodeID, level log.Level, t *timer.Clock) *Log {
	l := &Log{lines: make(chan []byte, queued), limit: rate.NewLimiter(linesPerSecond, burst), timer: t}
	options := log.Options{Formatter: log.JSONFormatter, ReportTimestamp: true, TimeFormat: time.RFC3339Nano, Level: level}
	l.logger = log.NewWithOptions(l, options).With("Node", node)
	return l
}

// Write queues one line.
func (l *Log) Write(line []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Decided writes one decision: what, about which request, from which inputs.
func (l *Log) Decided(what string, id snipeford.RequestID, inputs ...any) {
	if !l.allowed() {
		return
	}
	l.logger.Info(what, append([]any{"Request", id}, inputs...)...)
}

// Info writes a change of what the node believes.
func (l *Log) Info(what string, inputs ...any) {
	if l.allowed() {
		l.logger.Info(what, inputs...)
	}
}

// Warn writes an error that is not about one request.
func (l *Log) Warn(what string, err error, inputs ...any) {
	if l.allowed() {
		l.logger.Warn(what, append([]any{"Error", err}, inputs...)...)
	}
}

func (l *Log) allowed() bool {
	if l.limit.AllowN(l.timer.Wall(), 1) {
		return true
	}
	l.dropped.Add(1)
	return false
}

// Dropped returns how many lines were dropped.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// Run writes the lines until ctx ends, and then those that still wait.
func (l *Log) Run(ctx context.Context, w io.Writer) error {
	report := l.timer.Every(ctx, reportEvery)
	told := int64(0)
	for {
		select {
		case line := <-l.lines:
			if _, err := w.Write(line); err != nil {
				l.dropped.Add(1)
			}
		case <-report:
			if n := l.Dropped(); n > told {
				l.logger.Warn("log lines dropped", "Lines", n)
				told = n
			}
		case <-ctx.Done():
			return l.drain(w)
		}
	}
}

func (l *Log) drain(w io.Writer) error {
	for {
		select {
		case line := <-l.lines:
			if _, err := w.Write(line); err != nil {
				return fmt.Errorf("write last log lines: %w", err)
			}
		default:
			return nil
		}
	}
}
