package intake

import "bytes"

// headCount counts the bytes and lines of a request's head as they arrive, empty lines
// before it included.
type headCount struct {
	bytes, lines int
	// newline is set if the last byte, apart from a carriage return behind it, was the end of
	// a line; the next line end is then the end of the head.
	newline bool
	// done is set at the end of the head, and rest is the number of bytes read behind it.
	done bool
	rest int
}

// add counts the bytes of a read up to the end of the head. net/http reads again only if the
// head has not ended: what looked like its end were empty lines before it.
func (h *headCount) add(p []byte) {
	if h.done {
		h.done = false
		h.bytes += h.rest
	}
	for len(p) > 0 {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			h.bytes += len(p)
			h.newline = h.newline && len(p) == 1 && p[0] == '\r'
			return
		}
		h.bytes += end + 1
		h.lines++
		if h.newline && (end == 0 || end == 1 && p[0] == '\r') {
			h.done, h.rest = true, len(p)-end-1
			return
		}
		h.newline = true
		p = p[end+1:]
	}
}

// next prepares for the next head of the connection. Up to the buffer of net/http, 4 KB, of
// it may have arrived together with the request before it, and are not counted.
func (h *headCount) next() { *h = headCount{newline: h.newline} }

// skip notes the end of bytes that are not counted, so that the end of a head is found whose
// beginning arrived together with the request before it.
func (h *headCount) skip(p []byte) {
	last := len(p) - 1
	switch {
	case p[last] == '\n':
		h.newline = true
	case p[last] != '\r':
		h.newline = false
	case last > 0:
		h.newline = p[last-1] == '\n'
	}
}
