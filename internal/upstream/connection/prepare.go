package connection

import "context"

// Prepare opens a connection to an upstream for a later request, unless an idle one is there.
func (p *Pool) Prepare(ctx context.Context, address string) error {
	if p.hasIdle(address) {
		return nil
	}
	c, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	p.put(c, 0)
	return nil
}

func (p *Pool) hasIdle(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[address]) > 0
}
