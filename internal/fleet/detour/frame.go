package detour

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
)

// The bytes from the gate come in frames: a length of two bytes, and so many bytes. A
// frame of length zero is the end of the upstream's connection. Without it, the end of a
// gate's process would look like the end of a response that has no length.

const (
	frameHeaderBytes = 2
	// maxFrameBytes is the most bytes of a frame with its length.
	maxFrameBytes = 8 << 10
)

// frameWriter writes each call of Write as one frame. Its calls may not exceed
// maxFrameBytes with the length.
type frameWriter struct {
	to     io.Writer
	buffer []byte
}

// Write writes one frame.
func (w *frameWriter) Write(p []byte) (int, error) {
	w.buffer = binary.BigEndian.AppendUint16(w.buffer[:0], uint16(len(p)))
	w.buffer = append(w.buffer, p...)
	if _, err := w.to.Write(w.buffer); err != nil {
		return 0, fmt.Errorf("write frame: %w", err)
	}
	return len(p), nil
}

// end writes the frame that marks the end.
func (w *frameWriter) end() error {
	_, err := w.Write(nil)
	return err
}

// framedConn is the asking node's side of a detour.
type framedConn struct {
	net.Conn
	reader    *bufio.Reader
	remaining int
	ended     bool
}

// Read reads the upstream's bytes. It returns io.EOF only at the end of the upstream's
// connection, and io.ErrUnexpectedEOF at the end of the gate's.
func (c *framedConn) Read(p []byte) (int, error) {
	if c.remaining == 0 {
		if err := c.nextFrame(); err != nil {
			return 0, err
		}
	}
	n, err := c.reader.Read(p[:min(len(p), c.remaining)])
	c.remaining -= n
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (c *framedConn) nextFrame() error {
	if c.ended {
		return io.EOF
	}
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(c.reader, header[:]); err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return fmt.Errorf("read frame: %w", err)
	}
	c.remaining = int(binary.BigEndian.Uint16(header[:]))
	if c.remaining == 0 {
		c.ended = true
		return io.EOF
	}
	return nil
}
