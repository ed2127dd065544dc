package entry

import "sync"

// TaskGroup counts work that outlives its caller. Its zero value works.
type TaskGroup struct{ group sync.WaitGroup }

// Go runs f and counts it until it ends.
func (p *TaskGroup) Go(f func()) { p.group.Go(f) }

// Wait returns when all has ended.
func (p *TaskGroup) Wait() { p.group.Wait() }
