package entry

import "sync"

// TaskGroup tracks goroutines that outlive the request that started them. Its
// zero value is ready to use.
type TaskGroup struct{ group sync.WaitGroup }

// Go runs f in a goroutine of the group.
func (p *TaskGroup) Go(f func()) { p.group.Go(f) }

// Wait blocks until all goroutines of the group have returned.
func (p *TaskGroup) Wait() { p.group.Wait() }
