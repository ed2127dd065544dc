package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// options sends requests that no route matches to each machine: with trouble those for the
// server as a whole, and otherwise those for an unknown path.
func options(f *fleet, trouble bool) error {
	f.store.Put("op", "config", configuration(1))
	for z := range zones {
		r := &replica{id: fmt.Sprintf("i-first-%d", z), service: "orders", zone: string(rune('a' + z)), slots: 6, work: 15 * time.Millisecond}
		if err := f.startReplica(r); err != nil {
			return err
		}
	}
	if err := f.startMachines(); err != nil {
		return err
	}
	target := "/unknown/"
	if trouble {
		target = "*"
	}
	unsealed := 0
	for _, m := range f.machines {
		if r := newClient(m).do("GET", "/status/x", 3*time.Second); r.status != http.StatusOK || !r.sealed {
			return fmt.Errorf("%s does not serve: %+v", m.name, r)
		}
		status, sealed, err := sendOptions(f, m, target)
		if err != nil {
			return err
		}
		if status >= 200 && status < 300 && !sealed {
			unsealed++
		}
	}
	f.record.note("OPTIONS %s: %d of %d machines answered with a success without the signature of a replica", target, unsealed, len(f.machines))
	if unsealed > 0 {
		return fmt.Errorf("%w: MIXED: success without the replica's signature", errBroken)
	}
	return nil
}

func sendOptions(f *fleet, m *machine, target string) (status int, sealed bool, err error) {
	c, err := net.DialTimeout("tcp4", m.callers(), time.Second)
	if err != nil {
		return 0, false, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	id := nextID()
	f.record.add("sent", map[string]any{"request": id, "to": m.name, "line": "OPTIONS " + target})
	if _, err := fmt.Fprintf(c, "OPTIONS %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Request-Deadline: 3000\r\nApi-Key: %s\r\n\r\n", target, host, id, apiKey); err != nil {
		return 0, false, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, false, err
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<16))
	status, sealed = resp.StatusCode, resp.Header.Get(passedOn) != ""
	f.record.add("answered", map[string]any{"request": id, "status": status, "sealed": sealed})
	return status, sealed, nil
}
