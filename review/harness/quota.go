package main

import (
	"syscall"
	"time"
	"unsafe"
)

// The platform's processor: a share of one core, as a quota of each tenth of a second.
const (
	quotaPeriod = 100 * time.Millisecond
	quotaPoll   = 3 * time.Millisecond
)

// processorTime returns the processor time that a process has used.
func processorTime(pid int) (time.Duration, bool) {
	// The id of the processor clock of another process, see clock_getcpuclockid(3).
	const scheduled = 2
	var ts syscall.Timespec
	clock := uintptr(int32(^pid)<<3 | scheduled)
	if _, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clock, uintptr(unsafe.Pointer(&ts)), 0); errno != 0 {
		return 0, false
	}
	return time.Duration(ts.Nano()), true
}

// limitProcessor stops a node for the rest of each period in which it has used its share of
// the processor, until the node ends.
func (w *world) limitProcessor(n *node, share float64) {
	process, exited := n.command.Process, n.exited
	for w.ctx.Err() == nil {
		begin := time.Now()
		base, ok := processorTime(process.Pid)
		if !ok {
			return
		}
		for time.Since(begin) < quotaPeriod {
			select {
			case <-exited:
				return
			case <-time.After(quotaPoll):
			}
			used, ok := processorTime(process.Pid)
			if !ok {
				return
			}
			if used-base > time.Duration(share*float64(quotaPeriod)) {
				_ = process.Signal(syscall.SIGSTOP)
				time.Sleep(quotaPeriod - time.Since(begin))
				_ = process.Signal(syscall.SIGCONT)
			}
		}
	}
}
