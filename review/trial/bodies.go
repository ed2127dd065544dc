package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// badClients is the number of connections with an unfinished body to each machine, and
	// bodyBytes the length of such a body. The limit of the configuration is 4 MB.
	badClients = 1150
	bodyBytes  = 64 << 10
	// reconnectDelay is the time until a client whose connection was closed connects again.
	reconnectDelay = 500 * time.Millisecond
	// badTime is how long they stay. Requests count from settleTime on.
	badTime    = 30 * time.Second
	settleTime = 5 * time.Second
	// ordinaryPerSecond is the number of requests of ordinary callers to each machine.
	ordinaryPerSecond = 8
	ordinaryDeadline  = 3 * time.Second
	// maxFailedShare is the share of the requests that may be refused or fail.
	maxFailedShare = 0.6
)

// dialFrom returns a function that connects from a loopback address.
func dialFrom(ip string) func(context.Context, string, string) (net.Conn, error) {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}, Timeout: time.Second}
	return d.DialContext
}

// unfinishedBody sends a body without its last byte and stays, again and again.
func unfinishedBody(ctx context.Context, m *machine, ip string, opened, closed *atomic.Int64) {
	dial := dialFrom(ip)
	body := make([]byte, bodyBytes-1)
	for ctx.Err() == nil {
		c, err := dial(ctx, "tcp4", m.callers())
		if err == nil {
			opened.Add(1)
			stop := context.AfterFunc(ctx, func() { _ = c.Close() })
			id := nextID()
			m.fleet.record.add("sent", map[string]any{"request": id, "to": m.name, "path": "/catalogue/x", "bodyBytes": len(body), "declared": bodyBytes})
			_, err = fmt.Fprintf(c, "POST /catalogue/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Request-Deadline: 15000\r\nApi-Key: %s\r\nContent-Length: %d\r\n\r\n", host, id, apiKey, bodyBytes)
			if err == nil {
				_, _ = c.Write(body)
			}
			// The response, or the end of the connection.
			answer, _ := io.ReadAll(io.LimitReader(c, 4096))
			line, _, _ := strings.Cut(string(answer), "\r\n")
			m.fleet.record.add("answered", map[string]any{"request": id, "line": line})
			stop()
			_ = c.Close()
			closed.Add(1)
		}
		sleep(ctx, reconnectDelay)
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// tally counts what ordinary callers got.
type tally struct{ sent, served, refused, nothing atomic.Int64 }

// String returns what the callers got.
func (t *tally) String() string {
	return fmt.Sprintf("%d requests of ordinary callers, %d served, %d refused, %d without any answer", t.sent.Load(), t.served.Load(), t.refused.Load(), t.nothing.Load())
}

// ordinary sends one request of an ordinary caller, and once more on a new connection if it
// fails, as the users' clients do.
func ordinary(c *client, t *tally) {
	t.sent.Add(1)
	begin := time.Now()
	status := 0
	for range 2 {
		left := ordinaryDeadline - time.Since(begin)
		if left < 100*time.Millisecond {
			break
		}
		r := c.do("GET", "/status/x", left)
		if r.status != 0 {
			status = r.status
		}
		if r.status == http.StatusOK && r.sealed {
			t.served.Add(1)
			return
		}
		c.http.CloseIdleConnections()
		time.Sleep(100 * time.Millisecond)
	}
	if status != 0 {
		t.refused.Add(1)
		return
	}
	t.nothing.Add(1)
}

// bodies opens many connections with unfinished bodies to all machines, beside ordinary
// callers.
func bodies(f *fleet, trouble bool) error {
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
	var opened, closed atomic.Int64
	before, during := &tally{}, &tally{}
	sendOrdinary(f, before, 4*time.Second)
	f.record.note("before: %v", before)
	if trouble {
		for _, m := range f.machines {
			for n := range badClients {
				ip := fmt.Sprintf("127.%d.201.%d", f.network, 1+n%200)
				go unfinishedBody(ctx, m, ip, &opened, &closed)
			}
		}
	}
	sleep(ctx, settleTime)
	sendOrdinary(f, during, badTime-settleTime)
	f.record.note("during: %v; connections of bad clients: %d opened, %d closed", during, opened.Load(), closed.Load())
	return judgeServed(before, during)
}

// sendOrdinary sends requests of ordinary callers to all machines for a time.
func sendOrdinary(f *fleet, t *tally, d time.Duration) {
	var wait sync.WaitGroup
	for k, m := range f.machines {
		for n := range 4 {
			c := newClient(m)
			c.http.Transport.(*http.Transport).DialContext = dialFrom(fmt.Sprintf("127.%d.200.%d", f.network, 1+4*k+n))
			wait.Go(func() {
				ticks := time.NewTicker(time.Second * 4 / ordinaryPerSecond)
				defer ticks.Stop()
				for end := time.Now().Add(d); time.Now().Before(end); {
					<-ticks.C
					ordinary(c, t)
				}
			})
		}
	}
	wait.Wait()
}

// judgeServed compares what ordinary callers got with the bound of the gate.
func judgeServed(before, during *tally) error {
	if before.served.Load() < before.sent.Load()*9/10 {
		return fmt.Errorf("only %d of %d requests were served before", before.served.Load(), before.sent.Load())
	}
	if failed := during.sent.Load() - during.served.Load(); float64(failed) > maxFailedShare*float64(during.sent.Load()) {
		return fmt.Errorf("%w: Gate: %d of %d requests of ordinary callers were refused or failed, %d of them without any answer", errBroken, failed, during.sent.Load(), during.nothing.Load())
	}
	return nil
}
