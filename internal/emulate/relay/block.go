package relay

import (
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

// blockedListener is a listening socket on which no connection is accepted. Once its
// queue is full, the kernel drops the opening packets of further ones, so that
// connecting hangs as it does behind a partition.
type blockedListener struct {
	socket int
	filler net.Conn
}

// BlockNew makes new connections hang until Listen. Open ones stay.
func (r *Relay) BlockNew() error {
	r.RefuseNew()
	r.unblock()
	b, err := blockAddress(r.address)
	if err != nil {
		return fmt.Errorf("block %s: %w", r.address, err)
	}
	r.mu.Lock()
	r.blocked = b
	r.mu.Unlock()
	return nil
}

func (r *Relay) unblock() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.blocked != nil {
		r.blocked.close()
		r.blocked = nil
	}
}

func blockAddress(address string) (*blockedListener, error) {
	resolved, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("resolve: %w", trace.Wrap(err))
	}
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("create socket: %w", trace.ConvertSystemError(err))
	}
	b := &blockedListener{socket: socket}
	if err := b.listen(resolved); err != nil {
		b.close()
		return nil, err
	}
	return b, nil
}

// listen listens with the shortest queue, and fills it.
func (b *blockedListener) listen(address *net.TCPAddr) error {
	if err := unix.SetsockoptInt(b.socket, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return fmt.Errorf("reuse address: %w", trace.ConvertSystemError(err))
	}
	if err := unix.Bind(b.socket, &unix.SockaddrInet4{Port: address.Port, Addr: [4]byte(address.IP.To4())}); err != nil {
		return fmt.Errorf("bind: %w", trace.ConvertSystemError(err))
	}
	if err := unix.Listen(b.socket, 0); err != nil {
		return fmt.Errorf("listen: %w", trace.ConvertSystemError(err))
	}
	filler, err := net.DialTimeout("tcp4", address.String(), fillTimeout)
	var failed net.Error
	switch {
	case err == nil:
		b.filler = filler
	case errors.As(err, &failed) && failed.Timeout():
		// A connection of another caller has filled the queue. It stays there until the
		// socket is closed, also if that caller closes it.
	default:
		return fmt.Errorf("fill queue: %w", trace.ConvertSystemError(err))
	}
	return nil
}

// fillTimeout limits the time to fill the queue. A connection to a queue with a free place
// is open at once on the loopback.
const fillTimeout = time.Second

func (b *blockedListener) close() {
	// The socket is not used again, so errors do not matter.
	_ = unix.Close(b.socket)
	if b.filler != nil {
		_ = b.filler.Close()
	}
}
