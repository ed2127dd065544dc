package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// reportsPerSecond is the number of requests to each machine for the service whose
	// replicas are in trouble, and reportDeadline how long their clients wait.
	reportsPerSecond = 20
	reportDeadline   = 15 * time.Second
	// reportReplicas is the number of replicas of that service in each zone.
	reportReplicas = 2
	// troubleTime is how long the load lasts.
	troubleTime = 60 * time.Second
	// headBytes is what a replica in trouble sends of a head at once. The rest comes a line
	// at a time, without end.
	headBytes   = 64_000
	headPause   = 500 * time.Millisecond
	memoryCheck = 50 * time.Millisecond
	// restartDelay is the time until a process that has ended is started again.
	restartDelay = 500 * time.Millisecond
	// maxEnds and minMachines are the figures of the rule: three times on a tenth of the
	// machines, two at least.
	maxEnds, minMachines = 3, 2
)

// shortLines returns lines of a head with names that differ.
func shortLines(size int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var lines strings.Builder
	for i := 0; lines.Len() < size; i++ {
		fmt.Fprintf(&lines, "%c%c%c:\n", letters[i/36/36%36], letters[i/36%36], letters[i%36])
	}
	return lines.String()
}

// endlessHead answers with a head that has no end, until the caller closes.
func endlessHead(lines string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		c, b, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = b.WriteString("HTTP/1.1 200 OK\r\n" + lines)
		for b.Flush() == nil {
			time.Sleep(headPause)
			_, _ = b.WriteString("x:\n")
		}
	}
}

// residentMegabytes returns the resident memory of a process in units of 2^20 bytes.
func residentMegabytes(pid int) int {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(raw)) {
		var kb int
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kb); n == 1 {
			return kb >> 10
		}
	}
	return 0
}

// endless sends requests to a service whose replicas send heads without end. A process that
// exceeds the memory of its machine is killed and started again, as the platform does.
func endless(f *fleet, trouble bool) error {
	f.store.Put("op", "config", configuration(1))
	lines := shortLines(headBytes)
	for z := range zones {
		zone := string(rune('a' + z))
		if err := f.startReplica(&replica{id: "i-orders-" + zone, service: "orders", zone: zone, slots: 6, work: 15 * time.Millisecond}); err != nil {
			return err
		}
		for n := range reportReplicas {
			r := &replica{id: fmt.Sprintf("i-reports-%s-%d", zone, n), service: "reports", zone: zone, slots: 16, work: 60 * time.Millisecond}
			if trouble {
				r.answer = endlessHead(lines)
			}
			if err := f.startReplica(r); err != nil {
				return err
			}
		}
	}
	if err := f.startMachines(); err != nil {
		return err
	}
	var wait sync.WaitGroup
	orders := &tally{}
	stop := make(chan struct{})
	guards := make([]*memoryGuard, len(f.machines))
	for i, m := range f.machines {
		guards[i] = &memoryGuard{machine: m}
		wait.Go(func() { sendReports(newClient(m), orders) })
	}
	var guarded sync.WaitGroup
	for _, g := range guards {
		guarded.Go(func() { g.watch(stop) })
	}
	wait.Wait()
	close(stop)
	guarded.Wait()
	endedOften := 0
	for _, g := range guards {
		f.record.note("%s: ended %d times over its memory, peak %d MB of %d", g.machine.name, g.ends, g.peak, g.machine.memoryMegabytes)
		if g.ends >= maxEnds {
			endedOften++
		}
	}
	f.record.note("%d of %d orders to the sound service got no answer of theirs", orders.sent.Load()-orders.served.Load(), orders.sent.Load())
	if endedOften >= minMachines {
		return fmt.Errorf("%w: Fault: on %d of %d machines the process ended by itself %d times or more", errBroken, endedOften, len(f.machines), maxEnds)
	}
	return nil
}

// sendReports sends requests for the service in trouble, and orders for the sound one.
func sendReports(c *client, orders *tally) {
	var requests sync.WaitGroup
	defer requests.Wait()
	ticks := time.NewTicker(time.Second / reportsPerSecond)
	defer ticks.Stop()
	for n := range int(troubleTime.Seconds() * reportsPerSecond) {
		<-ticks.C
		requests.Go(func() { c.do("GET", "/report/x", reportDeadline) })
		if n%4 == 0 {
			requests.Go(func() {
				orders.sent.Add(1)
				if r := c.do("POST", "/order/x", 3*time.Second); r.status == http.StatusOK {
					orders.served.Add(1)
				}
			})
		}
	}
}

// memoryGuard kills the process of a machine when it exceeds the memory, and starts it again.
type memoryGuard struct {
	machine    *machine
	ends, peak int
}

func (g *memoryGuard) watch(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(memoryCheck):
		}
		m := g.machine
		used := residentMegabytes(m.command.Process.Pid)
		g.peak = max(g.peak, used)
		if used <= m.memoryMegabytes {
			continue
		}
		g.ends++
		m.fleet.record.note("%s uses %d MB of %d and is killed", m.name, used, m.memoryMegabytes)
		m.kill()
		time.Sleep(restartDelay)
		if err := m.start(false); err != nil {
			m.fleet.record.note("%s does not start: %v", m.name, err)
			return
		}
	}
}
