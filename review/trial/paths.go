package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// pathBytes is the length of a path of slashes. With its other lines the head is within
	// the limit of 16,384 bytes.
	pathBytes = 16_000
	// pathClients is the number of clients of each machine that send such requests, one after
	// the other.
	pathClients = 150
	// pathTime is how long ordinary callers send requests beside them.
	pathTime = 15 * time.Second
)

// longPath sends requests with a path of slashes over one connection, one after the other.
func longPath(ctx context.Context, m *machine, ip string, answered *atomic.Int64) {
	path := strings.Repeat("/", pathBytes)
	for ctx.Err() == nil {
		c, err := dialFrom(ip)(ctx, "tcp4", m.callers())
		if err != nil {
			sleep(ctx, reconnectDelay)
			continue
		}
		stop := context.AfterFunc(ctx, func() { _ = c.Close() })
		for in := bufio.NewReader(c); err == nil; {
			id := nextID()
			m.fleet.record.add("sent", map[string]any{"request": id, "to": m.name, "pathBytes": pathBytes})
			if _, err = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n\r\n", path, host, id); err != nil {
				break
			}
			var resp *http.Response
			if resp, err = http.ReadResponse(in, nil); err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				answered.Add(1)
				m.fleet.record.add("answered", map[string]any{"request": id, "status": resp.StatusCode})
			}
		}
		stop()
		_ = c.Close()
	}
}

// paths sends requests with long paths to all machines, beside ordinary callers.
func paths(f *fleet, trouble bool) error {
	f.oneCore = true
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
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	before, during := &tally{}, &tally{}
	sendOrdinary(f, before, 4*time.Second)
	f.record.note("before: %v", before)
	var answered atomic.Int64
	if trouble {
		for _, m := range f.machines {
			for n := range pathClients {
				go longPath(ctx, m, fmt.Sprintf("127.%d.201.%d", f.network, 1+n), &answered)
			}
		}
	}
	begin := time.Now()
	sleep(ctx, settleTime)
	sendOrdinary(f, during, pathTime)
	f.record.note("during: %v; requests with long paths that were answered: %d in %v", during, answered.Load(), time.Since(begin).Round(time.Second))
	return judgeServed(before, during)
}
