package connection

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/gravitational/trace"

	"snipeford"
)

// Request is one request as it goes to an upstream.
type Request struct {
	ID     snipeford.RequestID
	Method string
	// Target is the path and query, as the caller wrote them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// ExchangeError is the error of an exchange. Sent says that bytes of the request may
// have reached the upstream, so that it may have run.
type ExchangeError struct {
	Sent bool
	Err  error
}

// Error returns what happened.
func (f *ExchangeError) Error() string { return f.Err.Error() }

// Unwrap returns the cause.
func (f *ExchangeError) Unwrap() error { return f.Err }

// Errors of answers that must not be passed on.
var (
	ErrRequestMismatch = errors.New("answer belongs to another request")
	ErrNoResponse      = errors.New("upstream sent no answer")
)

const (
	// strayAnswers bounds the answers to other requests that are skipped.
	strayAnswers = 2
	// longestStray bounds the body of such an answer, in bytes.
	longestStray = 1 << 20
)

// Exchange is one request with the answer that has begun.
type Exchange struct {
	Status  int
	Header  http.Header
	Decoded snipeford.ResponseHeader
	// SelfDelimited answers tell where they end; others end with their connection.
	SelfDelimited bool
	pool          *Pool
	conn          *conn
	response      *http.Response
	stop          func() bool
	whole         bool
}

// Do sends the request and reads the head of its answer. The context's end
// breaks the exchange off at any time until Close. An error is a *Failure.
func (p *Pool) Do(ctx context.Context, address string, r Request, dialect snipeford.HeaderCodec) (*Exchange, error) {
	c, err := p.take(ctx, address)
	if err != nil {
		return nil, &ExchangeError{Err: err}
	}
	x := &Exchange{pool: p, conn: c, stop: context.AfterFunc(ctx, c.close)}
	if written, err := c.write(r); err != nil {
		x.Close()
		return nil, &ExchangeError{Sent: written > 0, Err: fmt.Errorf("send request: %w", cause(ctx, err))}
	}
	if err := x.readHead(r, dialect); err != nil {
		x.Close()
		return nil, &ExchangeError{Sent: true, Err: cause(ctx, err)}
	}
	return x, nil
}

// cause names the context's end where that broke the connection.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return fmt.Errorf("%w: %w", context.Cause(ctx), err)
	}
	return err
}

// write sends the whole request and returns how many bytes the kernel took.
func (c *conn) write(r Request) (int, error) {
	var b bytes.Buffer
	b.Grow(1024 + len(r.Body))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || r.Method != http.MethodGet {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	if err := r.Header.Write(&b); err != nil {
		return 0, fmt.Errorf("write header: %w", trace.Wrap(err))
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	n, err := c.Write(b.Bytes())
	if err != nil {
		return n, fmt.Errorf("write: %w", trace.ConvertSystemError(err))
	}
	return n, nil
}

// readHead reads heads until the one of this request comes. Upstreams may
// answer an earlier request late or twice; such answers are skipped.
func (x *Exchange) readHead(r Request, dialect snipeford.HeaderCodec) error {
	for stray := 0; stray <= strayAnswers; stray++ {
		response, err := http.ReadResponse(x.conn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return fmt.Errorf("%w: %w", ErrNoResponse, trace.Wrap(err))
		}
		if response.StatusCode < http.StatusOK {
			stray--
			continue
		}
		head := dialect.DecodeResponse(response.StatusCode, response.Header)
		if head.RequestID == r.ID || head.RequestID == "" && !x.conn.reused && stray == 0 {
			x.accept(response, head)
			return nil
		}
		if head.RequestID == "" {
			return ErrRequestMismatch
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(response.Body, longestStray)); err != nil || n == longestStray {
			return fmt.Errorf("%w: skip it: %w", ErrRequestMismatch, err)
		}
	}
	return ErrRequestMismatch
}

func (x *Exchange) accept(response *http.Response, head snipeford.ResponseHeader) {
	x.response, x.Decoded = response, head
	x.Status, x.Header = response.StatusCode, response.Header
	x.SelfDelimited = response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	x.Decoded.Closing = head.Closing || response.Close || !x.SelfDelimited
}

// Read reads the answer's body. io.EOF means that it is whole.
func (x *Exchange) Read(p []byte) (int, error) {
	n, err := x.response.Body.Read(p)
	if err == io.EOF {
		x.whole = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept where the answer was read to
// its end and nothing came behind it.
func (x *Exchange) Close() {
	intact := x.stop()
	if intact && x.whole && !x.Decoded.Closing && x.conn.reader.Buffered() == 0 {
		x.pool.put(x.conn, x.Decoded.IdleTimeout)
		return
	}
	x.conn.close()
}
