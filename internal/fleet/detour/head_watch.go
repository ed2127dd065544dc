package detour

import (
	"bufio"
	"bytes"
	"net/http"
)

// maxWatchedBytes limits the heads of a response that a headWatch keeps.
const maxWatchedBytes = 8 << 10

// headWatch is a Writer that gets the bytes of one response, and calls onHead with its final
// head. It accepts all bytes, and ignores a head that it cannot parse.
type headWatch struct {
	onHead func(status int, h http.Header)
	head   []byte
	done   bool
}

// Write implements io.Writer.
func (w *headWatch) Write(b []byte) (int, error) {
	if w.done {
		return len(b), nil
	}
	w.head = append(w.head, b[:min(len(b), maxWatchedBytes-len(w.head))]...)
	for !w.done {
		end := bytes.Index(w.head, []byte("\r\n\r\n"))
		if end < 0 {
			w.done = len(w.head) == maxWatchedBytes
			break
		}
		w.parse(w.head[:end+4])
		w.head = w.head[end+4:]
	}
	if w.done {
		w.head = nil
	}
	return len(b), nil
}

// parse parses one head. Those of informational responses come before the final one.
func (w *headWatch) parse(head []byte) {
	r, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(head)), nil)
	if err != nil {
		w.done = true
		return
	}
	// The body is not part of what was read.
	_ = r.Body.Close()
	if r.StatusCode >= http.StatusOK {
		w.done = true
		w.onHead(r.StatusCode, r.Header)
	}
}
