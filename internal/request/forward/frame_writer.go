package forward

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"

	"github.com/gravitational/trace"

	"snipeford/internal/control/timer"
	"snipeford/internal/request/stream"
)

// frameWriter writes frames as JSON lines and flushes each of them.
type frameWriter struct {
	mu    sync.Mutex
	w     http.ResponseWriter
	flush *http.ResponseController
}

// Chunk sends a chunk to the entry node.
func (f *frameWriter) Chunk(c stream.Chunk) error { return f.write(stream.Frame{Chunk: &c}) }

// Response sends a plain service's response to the entry node.
func (f *frameWriter) Response(r stream.Response) error { return f.write(stream.Frame{Response: &r}) }

func (f *frameWriter) write(frame stream.Frame) error {
	raw, err := json.Marshal(frame)
	if err != nil {
		return fmt.Errorf("encode frame: %w", trace.Wrap(err))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, err := f.w.Write(append(raw, '\n')); err != nil {
		return fmt.Errorf("write frame: %w", err)
	}
	if err := f.flush.Flush(); err != nil {
		return fmt.Errorf("flush frame: %w", err)
	}
	return nil
}

// keepAlive writes empty frames until the returned function is called.
func (f *frameWriter) keepAlive(ctx context.Context, t *timer.Clock) func() {
	ctx, cancel := context.WithCancel(ctx)
	ticks := t.Every(ctx, keepAliveInterval)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticks:
				// A broken connection also fails the write of the next frame of
				// the response, which returns the error.
				_ = f.write(stream.Frame{})
			}
		}
	}()
	return func() {
		cancel()
		<-done
	}
}
