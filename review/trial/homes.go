package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	zones           = 3
	machinesPerZone = 2
	// coldPerSecond is the operators' figure for a cold replica of the service.
	coldPerSecond = 36
	// coldOver and coldSlack are the bounds of the sheets.
	coldOver, coldSlack = 1.5, 5.0
	coldPeriod          = 3 * time.Second
	// maxReplacements is the number of machines that are replaced at most, one after the
	// other.
	maxReplacements = 10
	replaceDelay    = 2 * time.Second
	// requestsPerSecond is the load on all machines together.
	requestsPerSecond = 300
)

func configuration(version int) []byte {
	route := func(name, kind, service string, attempts, timeoutMs int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "prefix": "/" + name + "/", "kind": kind, "service": service, "timeoutMs": timeoutMs,
			"targetLatencyMs": 300, "priority": 2, "attempts": attempts, "anonymous": false, "sticky": false,
		}
	}
	sketch := route("sketch", "streaming", "models", 2, 10000)
	sketch["sticky"], sketch["resumable"], sketch["maxGapMs"], sketch["priority"] = true, true, 250, 1
	raw, _ := json.Marshal(map[string]any{
		"version": version,
		"routes":  []any{sketch, route("status", "safe", "orders", 2, 3000), route("order", "unsafe", "orders", 1, 3000), route("catalogue", "unsafe", "orders", 1, 15000), route("report", "safe", "reports", 2, 15000)},
		"services": []any{
			map[string]any{"name": "orders", "healthPath": "/health", "maxConns": 200, "coldPeriodS": coldPeriod.Seconds(), "coldPerS": coldPerSecond},
			map[string]any{"name": "models", "healthPath": "/health", "maxConns": 344, "coldPeriodS": coldPeriod.Seconds(), "coldPerS": coldPerSecond, "engine": map[string]any{
				"slots": 16, "kvTokens": 315000, "stride": 51, "step_ms": 0.85, "per_seq_ms": 0.00425, "context_per_k": 0.00285, "read_per_s": 177000,
				"pairs_per_m": 0.184, "chunk": 2048, "hopMs": 0.05,
			}},
			map[string]any{"name": "reports", "healthPath": "/health", "maxConns": 344, "coldPeriodS": 0, "coldPerS": 0},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "t1", "apiKeys": []string{apiKey}, "priority": 1}},
	})
	return raw
}

// homes replaces the machine that is the home of the service, a few times, and then
// replaces the replicas of the service one after the other.
func homes(f *fleet, trouble bool) error {
	f.store.Put("op", "config", configuration(1))
	for z := range zones {
		r := &replica{id: fmt.Sprintf("i-first-%d", z), service: "models", zone: string(rune('a' + z)), slots: 16, work: 40 * time.Millisecond, stream: true}
		if err := f.startReplica(r); err != nil {
			return err
		}
	}
	var live []*machine
	next := make([]int, zones)
	add := func(zone int, first bool) error {
		next[zone]++
		m, err := f.addMachine(zone, next[zone], first)
		live = append(live, m)
		return err
	}
	for range machinesPerZone {
		for z := range zones {
			if err := add(z, true); err != nil {
				return err
			}
		}
	}
	for _, m := range live {
		if err := m.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	clients := map[string]*client{}
	var resultsMu sync.Mutex
	results := map[string]result{}
	send := func(n int, wait *sync.WaitGroup) {
		m := live[n%len(live)]
		c := clients[m.name]
		if c == nil {
			c = newClient(m)
			clients[m.name] = c
		}
		wait.Go(func() {
			r := c.do("POST", "/sketch/x", 10*time.Second)
			resultsMu.Lock()
			results[r.id] = r
			resultsMu.Unlock()
		})
	}
	load := func(perSecond int, d time.Duration) {
		var wait sync.WaitGroup
		ticks := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticks.Stop()
		end := time.After(d)
		for n := 0; ; n++ {
			select {
			case <-ticks.C:
				send(n, &wait)
			case <-end:
				wait.Wait()
				return
			}
		}
	}
	load(60, 4*time.Second)
	for i := 0; trouble && i < maxReplacements; i++ {
		home, agreed := currentHome(live)
		if !agreed {
			break
		}
		for k, m := range live {
			if m.name != home {
				continue
			}
			f.record.note("machine %s is removed for good", m.name)
			m.kill()
			live = append(live[:k], live[k+1:]...)
			zone := int(m.zone[0] - 'a')
			load(60, replaceDelay)
			if err := add(zone, false); err != nil {
				return err
			}
			f.record.note("machine %s comes at another address", live[len(live)-1].name)
			if err := live[len(live)-1].awaitReady(10 * time.Second); err != nil {
				return err
			}
			break
		}
		load(60, 1500*time.Millisecond)
	}
	load(60, 5*time.Second)
	for _, m := range live {
		f.record.note("machine %s: home of the service is %s", m.name, m.homeOf("models"))
	}
	// The replicas of the service are replaced one after the other.
	done := make(chan struct{})
	var started []*replica
	go func() {
		defer close(done)
		old := append([]*replica{}, f.replicas...)
		for z, o := range old {
			r := &replica{id: fmt.Sprintf("i-next-%d", z), service: "models", zone: o.zone, slots: 16, work: 40 * time.Millisecond, stream: true, coldFor: coldPeriod, coldBound: coldPerSecond*coldOver + coldSlack}
			if err := f.startReplica(r); err != nil {
				return
			}
			started = append(started, r)
			time.Sleep(time.Second)
			o.crash()
		}
	}()
	load(requestsPerSecond, 8*time.Second)
	<-done
	bound := float64(coldPerSecond*coldOver + coldSlack)
	broken := 0
	for _, r := range started {
		coldUntil := r.born.Add(coldPeriod).Sub(f.record.start)
		count, from := r.most(time.Second, 0, coldUntil)
		f.record.note("cold replica %s: %d requests in the second from %.3f, bound %.1f", r.id, count, from.Seconds(), bound)
		if float64(count) > bound {
			broken++
		}
	}
	lost := 0
	for _, r := range started {
		for _, a := range r.arrivals {
			if o, ok := results[a.request]; ok && (o.status != http.StatusOK || o.err != nil) {
				lost++
			}
		}
	}
	f.record.note("%d requests that had reached cold replicas got no answer", lost)
	if broken > 0 {
		return fmt.Errorf("%w: FAILBACK: %d of %d cold replicas got more than %.1f requests in a second", errBroken, broken, len(started), bound)
	}
	return nil
}

// currentHome returns the node that most machines use as the home of the service, and
// whether machines of several zones do.
func currentHome(live []*machine) (home string, agreed bool) {
	votes, best := map[string]int{}, ""
	for _, m := range live {
		h := m.homeOf("models")
		if votes[h]++; votes[h] > votes[best] {
			best = h
		}
	}
	return best, votes[best] > machinesPerZone
}
