package entry

import "sync"

// Pending counts work that outlives its caller. Its zero value works.
type Pending struct{ group sync.WaitGroup }

// Go runs f and counts it until it ends.
func (p *Pending) Go(f func()) { p.group.Go(f) }

// Wait returns when all has ended.
func (p *Pending) Wait() { p.group.Wait() }
