package loopback_test

import (
	"net"
	"strconv"
	"testing"

	"snipeford/internal/emulate/loopback"
)

func reserve(t *testing.T) *loopback.Host {
	t.Helper()
	h, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = h.Close() })
	return h
}

func address(t *testing.T, h *loopback.Host) string {
	t.Helper()
	a, err := h.Address()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// TestAddressesStayDistinct guards against two listeners of a run that get the same
// port because the first one does not listen yet.
func TestAddressesStayDistinct(t *testing.T) {
	seen := map[string]bool{}
	for _, h := range []*loopback.Host{reserve(t), reserve(t)} {
		for range 800 {
			a := address(t, h)
			if seen[a] {
				t.Fatalf("got %s twice, want distinct addresses", a)
			}
			seen[a] = true
		}
	}
}

func TestUsedPortIsNotReturned(t *testing.T) {
	h := reserve(t)
	host, port, err := net.SplitHostPort(address(t, h))
	if err != nil {
		t.Fatal(err)
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp4", net.JoinHostPort(host, strconv.Itoa(number+1)))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if got := address(t, h); got == l.Addr().String() {
		t.Errorf("got %s, want an address on which nothing listens", got)
	}
}
