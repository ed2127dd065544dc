package connection

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"snipeford"
)

// Request is one request to an upstream.
type Request struct {
	ID     snipeford.RequestID
	Method string
	// Target is the path and query, unchanged from the caller's request.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Repeatable is set if the request may be sent again although an upstream may have
	// run it.
	Repeatable bool
	// Check, if not nil, is called when the connection is open, before anything is sent.
	// Its error ends the exchange.
	Check func() error
}

// ExchangeError is the error of an exchange. If Sent is set, bytes of the request
// may have reached the upstream, so the upstream may have run the request.
type ExchangeError struct {
	Sent bool
	Err  error
}

// Error returns the text of Err.
func (e *ExchangeError) Error() string { return e.Err.Error() }

// Unwrap returns Err.
func (e *ExchangeError) Unwrap() error { return e.Err }

// Errors of responses that must not be forwarded to the caller.
var (
	ErrRequestMismatch = errors.New("response belongs to another request")
	ErrNoResponse      = errors.New("upstream sent no valid response")
	// ErrHeadTooLong means that a status line and header exceed maxHeadBytes.
	ErrHeadTooLong = errors.New("header of the response is too long")
	errBodyTooLong = errors.New("body is too long")
	// ErrLinkLost means that the node has lost its link to the upstream, which other
	// nodes still reach. It is no fault of the upstream.
	ErrLinkLost = errors.New("link to upstream is lost")
	// ErrNoWay means that no node reaches any upstream that could serve a request.
	ErrNoWay = errors.New("no node reaches an upstream")
)

const (
	// maxSkippedResponses is the maximum number of responses to other requests
	// that are skipped.
	maxSkippedResponses = 2
	// maxSkippedBody is the maximum body size of such a response, in bytes.
	maxSkippedBody = 1 << 20
	// skipTimeout limits the time for such a body. It was sent before the response that
	// is awaited.
	skipTimeout = 500 * time.Millisecond
	// maxHeadBytes is the maximum size of a status line and header, together with
	// those of the informational responses before it.
	maxHeadBytes = 64 << 10
)

// Exchange is one request and its response, whose body is read from the Exchange.
type Exchange struct {
	Status  int
	Header  http.Header
	Decoded snipeford.ResponseHeader
	// SelfDelimited reports whether the response has a known length or a
	// Transfer-Encoding. Other responses end when the connection closes.
	SelfDelimited bool
	// Through is the node that the connection leads through, or empty if it is direct.
	Through  snipeford.NodeID
	pool     *Pool
	conn     *conn
	response *http.Response
	stop     func() bool
	complete bool
}

// Do sends the request and reads the status and header of its response. Until
// Close, the end of the context closes the connection. Errors have the type
// *ExchangeError.
func (p *Pool) Do(ctx context.Context, address string, r Request, codec snipeford.HeaderCodec) (*Exchange, error) {
	c, err := p.get(ctx, address, r)
	if err != nil {
		return nil, &ExchangeError{Err: err}
	}
	if r.Check != nil {
		if err := r.Check(); err != nil {
			c.close()
			return nil, &ExchangeError{Err: err}
		}
	}
	c.sent = append(c.sent, hashOf(r.ID))
	p.begin(c.link, r.Repeatable)
	x := &Exchange{Through: c.through, pool: p, conn: c, stop: context.AfterFunc(ctx, c.close)}
	if written, err := c.write(r); err != nil {
		x.Close()
		return nil, &ExchangeError{Sent: written > 0, Err: fmt.Errorf("send request: %w", c.withCause(ctx, err))}
	}
	if err := x.readResponse(r, codec); err != nil {
		x.Close()
		return nil, &ExchangeError{Sent: true, Err: c.withCause(ctx, err)}
	}
	return x, nil
}

// withCause wraps err with ErrLinkLost if the connection was closed because of that,
// and with the cause of the context if the context has ended.
func (c *conn) withCause(ctx context.Context, err error) error {
	if c.isLost() {
		err = fmt.Errorf("%w: %w", ErrLinkLost, err)
	}
	return withContextCause(ctx, err)
}

// withContextCause wraps err with the cause of the context if the context has
// ended, because its end closes the connection.
func withContextCause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return fmt.Errorf("%w: %w", context.Cause(ctx), err)
	}
	return err
}

// maxCopiedBody is the part of a body that is sent in one write with the head. Most prompts
// fit; a copy of a longer body would take its memory twice.
const maxCopiedBody = 64 << 10

// write sends the whole request and returns how many bytes the kernel accepted.
func (c *conn) write(r Request) (int, error) {
	var b bytes.Buffer
	b.Grow(1024 + min(len(r.Body), maxCopiedBody))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || r.Method != http.MethodGet {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	if err := r.Header.Write(&b); err != nil {
		return 0, fmt.Errorf("write header: %w", trace.Wrap(err))
	}
	b.WriteString("\r\n")
	together := min(len(r.Body), maxCopiedBody)
	b.Write(r.Body[:together])
	n, err := c.Write(b.Bytes())
	if err == nil && together < len(r.Body) {
		var more int
		more, err = c.Write(r.Body[together:])
		n += more
	}
	if err != nil {
		return n, fmt.Errorf("write: %w", trace.ConvertSystemError(err))
	}
	return n, nil
}

// readResponse reads status lines and headers until those of this request arrive.
// Upstreams may respond late or twice to an earlier request; such responses are
// skipped.
func (x *Exchange) readResponse(r Request, codec snipeford.HeaderCodec) error {
	for skipped := 0; skipped <= maxSkippedResponses; skipped++ {
		response, err := x.conn.readHead(r.Method)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrNoResponse, err)
		}
		if x.conn.reused && isSpliced(response) {
			return fmt.Errorf("%w: its head contains another one", ErrRequestMismatch)
		}
		decoded := codec.DecodeResponse(response.StatusCode, response.Header)
		if decoded.RequestID == r.ID || decoded.RequestID == "" && !x.conn.reused && skipped == 0 {
			x.setResponse(response, decoded)
			return nil
		}
		if decoded.RequestID == "" {
			return ErrRequestMismatch
		}
		if !isSelfDelimited(response) {
			// No response can follow, so there is nothing to wait for.
			return fmt.Errorf("%w: it ends with the connection", ErrRequestMismatch)
		}
		x.conn.tainted = true
		if err := x.skipBody(response.Body); err != nil {
			return fmt.Errorf("%w: skip its body: %w", ErrRequestMismatch, err)
		}
	}
	return ErrRequestMismatch
}

// statusLine matches a status line inside another line.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9]`)

// isSpliced reports whether a head begins with a part of an earlier response.
func isSpliced(response *http.Response) bool {
	if statusLine.MatchString(response.Status) {
		return true
	}
	for _, values := range response.Header {
		if slices.ContainsFunc(values, statusLine.MatchString) {
			return true
		}
	}
	return false
}

// skipBody reads the body of a response to another request.
func (x *Exchange) skipBody(body io.Reader) error {
	if err := x.conn.SetReadDeadline(x.pool.Timer.Deadline(skipTimeout)); err != nil {
		return fmt.Errorf("set read deadline: %w", trace.ConvertSystemError(err))
	}
	if err := discardBody(body); err != nil {
		return err
	}
	if err := x.conn.SetReadDeadline(time.Time{}); err != nil {
		return fmt.Errorf("clear read deadline: %w", trace.ConvertSystemError(err))
	}
	return nil
}

// readHead reads the next status line and header that do not belong to an
// informational response.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.head.limit(maxHeadBytes)
	defer c.head.unlimit()
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, fmt.Errorf("read head: %w", trace.Wrap(err))
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

func discardBody(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxSkippedBody+1))
	if err == nil && n > maxSkippedBody {
		return errBodyTooLong
	}
	return err
}

func (x *Exchange) setResponse(response *http.Response, decoded snipeford.ResponseHeader) {
	x.response, x.Decoded = response, decoded
	x.Status, x.Header = response.StatusCode, response.Header
	x.SelfDelimited = isSelfDelimited(response)
	x.Decoded.Closing = decoded.Closing || response.Close || !x.SelfDelimited
}

func isSelfDelimited(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// Read reads the body of the response. io.EOF means that the body is complete.
func (x *Exchange) Read(p []byte) (int, error) {
	n, err := x.response.Body.Read(p)
	if err == io.EOF {
		x.complete = true
	} else if err != nil && x.conn.isLost() {
		err = fmt.Errorf("%w: %w", ErrLinkLost, err)
	}
	return n, err
}

// Close ends the exchange. It returns the connection to the pool if the response
// was read to its end, and no other bytes came before it or after it.
func (x *Exchange) Close() {
	open := x.stop()
	x.pool.end(x.conn.link)
	if open && x.complete && x.conn.isKept(x.Decoded) {
		x.pool.put(x.conn, x.Decoded.IdleTimeout)
		return
	}
	x.conn.close()
}

// isKept reports whether the connection may carry another request after a complete
// response.
func (c *conn) isKept(last snipeford.ResponseHeader) bool {
	return c.through == "" && !last.Closing && !c.tainted && c.reader.Buffered() == 0 && len(c.sent) < maxRequestsPerConnection
}
