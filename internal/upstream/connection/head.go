package connection

import "io"

// headReader reads from a connection and can limit how many bytes it reads. The
// parser of net/http has no limit for the size of a status line and header.
type headReader struct {
	source    io.Reader
	limited   bool
	remaining int
}

func (h *headReader) limit(bytes int) { h.limited, h.remaining = true, bytes }

func (h *headReader) unlimit() { h.limited = false }

// Read returns ErrHeadTooLong once the limit is used up.
func (h *headReader) Read(p []byte) (int, error) {
	if !h.limited {
		return h.source.Read(p)
	}
	if h.remaining <= 0 {
		return 0, ErrHeadTooLong
	}
	n, err := h.source.Read(p[:min(len(p), h.remaining)])
	h.remaining -= n
	return n, err
}
