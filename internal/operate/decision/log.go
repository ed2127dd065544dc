// Package decision writes a node's log of decisions as JSON lines and reads the
// lines of one request back. Logging never blocks: lines above the rate limit, and
// lines that the writer cannot keep up with, are dropped and counted.
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
	// queueSize is the number of lines that can wait for the writer.
	queueSize = 1_024
	// linesPerSecond and lineBurst limit the time that a node spends on encoding and
	// writing lines. A node serves up to a few hundred requests per second, so their
	// lines can exceed the limit. Lines above it are dropped.
	linesPerSecond = 200
	lineBurst      = 400
	// dropReportInterval is how often the number of dropped lines is logged.
	dropReportInterval = 5 * time.Second
)

// Log is the log of a node.
type Log struct {
	logger  *log.Logger
	lines   chan []byte
	limit   *rate.Limiter
	timer   *timer.Clock
	dropped atomic.Int64
}

// New returns a log for the node. Lines are queued until Run writes them.
func New(node snipeford.NodeID, level log.Level, t *timer.Clock) *Log {
	l := &Log{lines: make(chan []byte, queueSize), limit: rate.NewLimiter(linesPerSecond, lineBurst), timer: t}
	options := log.Options{Formatter: log.JSONFormatter, ReportTimestamp: true, TimeFormat: time.RFC3339Nano, Level: level}
	l.logger = log.NewWithOptions(l, options).With("Node", node)
	return l
}

// Write queues a line. It drops the line if the queue is full.
func (l *Log) Write(line []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Decided logs a decision about a request, with the inputs of the decision.
func (l *Log) Decided(message string, id snipeford.RequestID, fields ...any) {
	if !l.allowed() {
		return
	}
	l.logger.Info(message, append([]any{"Request", id}, fields...)...)
}

// Info logs a change of the node's state.
func (l *Log) Info(message string, fields ...any) {
	if l.allowed() {
		l.logger.Info(message, fields...)
	}
}

// Warn logs an error that does not belong to a single request.
func (l *Log) Warn(message string, err error, fields ...any) {
	if l.allowed() {
		l.logger.Warn(message, append([]any{"Error", err}, fields...)...)
	}
}

func (l *Log) allowed() bool {
	if l.limit.AllowN(l.limitTime(), 1) {
		return true
	}
	l.dropped.Add(1)
	return false
}

// limitTime returns the time for the limit of lines, with a monotonic reading: after a
// step back of the wall clock, the limiter would allow nothing until that is again where
// it was.
func (l *Log) limitTime() time.Time { return l.timer.Deadline(0) }

// Dropped returns the number of dropped lines.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// Run writes queued lines to w until ctx ends, and then the lines that are left.
func (l *Log) Run(ctx context.Context, w io.Writer) error {
	ticks := l.timer.Every(ctx, dropReportInterval)
	reported := int64(0)
	for {
		select {
		case line := <-l.lines:
			if _, err := w.Write(line); err != nil {
				l.dropped.Add(1)
			}
		case <-ticks:
			if n := l.Dropped(); n > reported {
				l.logger.Warn("log lines dropped", "Lines", n)
				reported = n
			}
		case <-ctx.Done():
			return l.writeQueued(w)
		}
	}
}

func (l *Log) writeQueued(w io.Writer) error {
	for {
		select {
		case line := <-l.lines:
			if _, err := w.Write(line); err != nil {
				return fmt.Errorf("write remaining log lines: %w", err)
			}
		default:
			return nil
		}
	}
}
