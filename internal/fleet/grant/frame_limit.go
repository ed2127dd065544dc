package grant

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

const (
	// maxPeerFrameBytes limits a frame that another node sends to this one as a home or
	// feeder. The largest is Sync, with some hundred bytes for each running request.
	maxPeerFrameBytes = 8 << 20
	// maxRowsFrameBytes limits a frame from a home or feeder. The largest are rows that are
	// sent unpacked to earlier builds, in base64; a batch has maxUnpackedBytes at most.
	maxRowsFrameBytes = 2 * maxUnpackedBytes
	// firstFrameTimeout limits the time to the first frame of a connection. The other node
	// sends it at once, and gives up after a few hundred milliseconds.
	firstFrameTimeout = 3 * time.Second
)

// errFrameTooLong means that a frame exceeds the limit.
var errFrameTooLong = errors.New("frame is too long")

// frameLimit limits the bytes that are read for one frame.
type frameLimit struct {
	reader     io.Reader
	most, left int
}

// next begins a frame. Bytes that were read ahead of it do not count.
func (l *frameLimit) next() { l.left = l.most }

// Read reads bytes of the frame, or of the next one.
func (l *frameLimit) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errFrameTooLong
	}
	n, err := l.reader.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// awaitFirstFrame reads the first frame of a connection within firstFrameTimeout.
func (s *Server) awaitFirstFrame(c net.Conn, reader *bufio.Reader) (Frame, error) {
	if err := c.SetReadDeadline(s.Timer.Deadline(firstFrameTimeout)); err != nil {
		return Frame{}, fmt.Errorf("set deadline of first frame: %w", err)
	}
	first, err := readFirstFrame(reader)
	if err != nil {
		return first, err
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return Frame{}, fmt.Errorf("clear deadline of first frame: %w", err)
	}
	return first, nil
}
