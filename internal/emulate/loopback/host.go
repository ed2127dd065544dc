// Package loopback hands out addresses for the listeners of processes that a run
// starts, stops and starts again.
package loopback

import (
	"fmt"
	"net"
	"sync"

	"github.com/gravitational/trace"
)

const (
	// lockPort is the port on which a Host listens itself.
	lockPort = 19_999
	// firstPort and lastPort limit the ports that are handed out.
	firstPort = 20_000
	lastPort  = 29_999
	// maxHosts is the number of IP addresses that Reserve tries, 127.77.0.1 and up.
	maxHosts = 250
)

// Host is a loopback IP address that no other run on the machine uses. Connections
// and listeners of other programs get ports of 127.0.0.1, so that a port of a Host
// stays free while the process that listens there restarts.
type Host struct {
	ip   string
	lock net.Listener

	mu       sync.Mutex
	nextPort int
}

// Reserve returns a host for the caller's own use until Close.
func Reserve() (*Host, error) {
	var err error
	for n := 1; n <= maxHosts; n++ {
		ip := fmt.Sprintf("127.77.0.%d", n)
		var lock net.Listener
		if lock, err = net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, lockPort)); err == nil {
			return &Host{ip: ip, lock: lock, nextPort: firstPort}, nil
		}
	}
	return nil, fmt.Errorf("reserve a loopback address: %w", trace.ConvertSystemError(err))
}

// Address returns an address that it has not returned before and on which nothing
// listens. A process of an earlier run that was not stopped may still listen.
func (h *Host) Address() (string, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for h.nextPort <= lastPort {
		address := fmt.Sprintf("%s:%d", h.ip, h.nextPort)
		h.nextPort++
		probe, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		if err := probe.Close(); err != nil {
			return "", fmt.Errorf("close probe of %s: %w", address, trace.ConvertSystemError(err))
		}
		return address, nil
	}
	return "", trace.LimitExceeded("no free port left at %s", h.ip)
}

// Close ends the reservation.
func (h *Host) Close() error {
	if err := h.lock.Close(); err != nil {
		return fmt.Errorf("release loopback address: %w", trace.ConvertSystemError(err))
	}
	return nil
}
