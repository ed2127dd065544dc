// Package intake bounds what callers, peers and probes make a node hold: bytes, connections
// and request heads. One Budget of bytes covers all listeners of a process, each of which
// is a Listener. Its connections count the bytes and lines of a head before net/http parses
// it.
package intake

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"snipeford"
	"snipeford/internal/control/timer"
)

const (
	// connectionBytes is what an open connection takes: the two buffers of 4 KB of net/http,
	// the stack of its goroutine and its state, as measured with idle connections.
	connectionBytes = 16 << 10
	// requestBytes is what a request takes besides its head and body: the stacks of the
	// handler and of the reader beside it, and the buffers of its connection to an upstream.
	requestBytes = 32 << 10
	// lineBytes is what a line of a head takes besides its bytes: its name, its value and
	// its entry in two maps that grow, the caller's header and that for the upstream.
	lineBytes = 256
	// ordinaryBytes is what an ordinary request holds at most: a prompt of 5,000 tokens and
	// a head with 50 lines take about 70 KB with connectionBytes and requestBytes.
	ordinaryBytes = 128 << 10
	// essentialBytes is what a connection of an essential listener holds in any case: a probe
	// with a head of 30 lines takes about 56 KB with connectionBytes and requestBytes. MaxDescriptors
	// bounds the number of such connections.
	essentialBytes = 64 << 10
	// reserveFraction of the budget is only for holders of up to ordinaryBytes.
	reserveFraction = 8
	// addressShare and organisationShare are the parts of the budget, one in so many, above
	// which an address or an organisation is the first to give way while others wait. Many
	// callers of one organisation may share an address.
	addressShare      = 4
	organisationShare = 2
	// maxLeavingFraction limits the bytes of requests that are being ended, one in so many
	// of the budget, since they are held until their goroutines have run.
	maxLeavingFraction = 4
	// stalledWriteTime is how long a write may block before its connection can be closed
	// for the memory of others. The kernel takes new bytes of a slow reader in large
	// pieces; this covers a caller that reads 100 KB per second.
	stalledWriteTime = 3 * time.Second
)

// Stage is what a connection is doing.
type Stage int32

// Stages of a connection. Those from StageNew to StageBody can be ended without harm:
// nothing has run.
const (
	// StageNew is a connection on which nothing has arrived.
	StageNew Stage = iota
	// StageIdle is a connection between two requests.
	StageIdle
	// StageHead and StageBody are those of a request that is arriving.
	StageHead
	StageBody
	// StageRunning is that of a request that has arrived.
	StageRunning
)

// Budget is the memory that all connections of a process may hold together. Its zero value
// has no bound.
type Budget struct {
	// Capacity is the bound in bytes, or zero for none.
	Capacity int64
	Timer    *timer.Clock

	counts counts

	mu       sync.Mutex
	used     int64
	leaving  int64
	accounts []*Account
	// addresses and organisations hold the bytes of each.
	addresses     map[netip.Addr]int64
	organisations map[snipeford.Organisation]int64
}

// Account is what one connection holds. Its methods do nothing, and allow everything, if it
// is nil. The fields are guarded by the budget's mutex.
type Account struct {
	budget  *Budget
	conn    *Conn
	index   int
	address netip.Addr

	organisation snipeford.Organisation
	stage        Stage
	held         int64
	// since is when the stage of an idle connection, or the request, began, and progressAt
	// when its last bytes arrived.
	since, progressAt snipeford.Instant
	evicted           bool
	// twice is set while the connection counts as two descriptors. The listener's mutex guards
	// it.
	twice bool
}

// CapacityFor returns the budget of a VM with the given memory in bytes: what the node does
// not need itself, divided by the growth of the heap between two garbage collections.
func CapacityFor(memory int64, gcPercent int) int64 {
	own := min(ownBytes, memory/2)
	return (memory - own) * 100 / int64(100+gcPercent)
}

// ownBytes is what a node may need for its control, by the operators' bound.
const ownBytes = 64_000_000

// open adds the account of a new connection.
func (b *Budget) open(c *Conn, address netip.Addr) *Account {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.addresses == nil {
		b.addresses, b.organisations = map[netip.Addr]int64{}, map[snipeford.Organisation]int64{}
	}
	now := b.Timer.Now()
	a := &Account{budget: b, conn: c, index: len(b.accounts), address: address, since: now, progressAt: now}
	b.accounts = append(b.accounts, a)
	return a
}

// close removes the account.
func (a *Account) close() {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.index < 0 {
		return
	}
	a.add(-a.held)
	last := b.accounts[len(b.accounts)-1]
	b.accounts[a.index], last.index = last, a.index
	b.accounts[len(b.accounts)-1] = nil
	b.accounts, a.index = b.accounts[:len(b.accounts)-1], -1
}

// add changes what the account holds. The mutex is held.
func (a *Account) add(n int64) {
	b := a.budget
	a.held += n
	b.used += n
	if a.evicted {
		b.leaving += n
	}
	if b.addresses[a.address] += n; b.addresses[a.address] <= 0 {
		delete(b.addresses, a.address)
	}
	if a.organisation == "" {
		return
	}
	if b.organisations[a.organisation] += n; b.organisations[a.organisation] <= 0 {
		delete(b.organisations, a.organisation)
	}
}

// Charge adds n bytes that have arrived to what the connection holds. It returns false, and
// adds nothing, if they do not fit and no other request gives way to them.
func (a *Account) Charge(n int64) bool {
	if a == nil {
		return true
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.evicted || a.index < 0 {
		return false
	}
	now := b.Timer.Now()
	a.progressAt = now
	a.add(n)
	if b.Capacity <= 0 || a.isEssential() {
		return true
	}
	limit := b.Capacity
	if a.held > ordinaryBytes {
		limit -= b.Capacity / reserveFraction
	}
	for b.used-b.leaving > limit {
		v := b.victim(now)
		if v == nil || v == a || b.leaving > b.Capacity/maxLeavingFraction {
			a.add(-n)
			return false
		}
		b.evict(v)
	}
	return true
}

// isEssential reports whether the account fits in any case. The mutex is held.
func (a *Account) isEssential() bool {
	return a.conn.listener.Essential && a.held <= essentialBytes
}

// Force adds n bytes that are held in any case.
func (a *Account) Force(n int64) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.index >= 0 {
		a.add(n)
	}
}

// Release returns n bytes.
func (a *Account) Release(n int64) { a.Force(-n) }

// SetOrganisation states whose request the connection carries.
func (a *Account) SetOrganisation(o snipeford.Organisation) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	held := a.held
	a.add(-held)
	a.organisation = o
	a.add(held)
}

// SetStage states what the connection is doing.
func (a *Account) SetStage(s Stage) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.setStage(s)
}

func (a *Account) setStage(s Stage) {
	if s == StageIdle || s == StageHead {
		a.since = a.budget.Timer.Now()
		a.progressAt = a.since
	}
	a.stage = s
}

// reset returns all that a request held, at its end.
func (a *Account) reset() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.index < 0 || a.evicted {
		return
	}
	a.add(-a.held)
	a.organisation = ""
	a.add(connectionBytes)
	a.setStage(StageIdle)
}

// Evicted reports whether the request was ended for the memory or descriptors of others.
func (a *Account) Evicted() bool {
	if a == nil {
		return false
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.evicted
}

// evict ends a connection or its request. The mutex is held.
func (b *Budget) evict(v *Account) {
	v.evicted = true
	b.leaving += v.held
	b.counts.add(CauseEvicted)
	v.conn.end(v.stage)
}

// victim returns the account that gives way next, or nil if there is none. The mutex is
// held.
func (b *Budget) victim(now snipeford.Instant) *Account {
	var best *Account
	var bestRank rank
	for _, a := range b.accounts {
		r, ok := b.rank(a, now)
		if ok && (best == nil || bestRank.less(r)) {
			best, bestRank = a, r
		}
	}
	return best
}

// rank orders the accounts that may give way for memory: the highest goes first.
type rank struct {
	// overShare is set while the address or the organisation holds more than its share,
	// and large if the account holds more than an ordinary one.
	overShare, large bool
	// unfinished is set while a request arrives, or if its response is not read, and for a
	// connection on which nothing has arrived.
	unfinished bool
	// silence is the time since the last progress in whole seconds, and since when the
	// request or the idle time began.
	silence int64
	since   snipeford.Instant
}

func (r rank) less(o rank) bool {
	switch {
	case r.overShare != o.overShare:
		return o.overShare
	case r.large != o.large:
		return o.large
	case r.unfinished != o.unfinished:
		return o.unfinished
	case r.silence != o.silence:
		return r.silence < o.silence
	}
	return r.since < o.since
}

func (b *Budget) rank(a *Account, now snipeford.Instant) (rank, bool) {
	if a.evicted || a.isEssential() && a.stage != StageRunning {
		return rank{}, false
	}
	r := rank{large: a.held > ordinaryBytes, unfinished: a.stage != StageIdle, since: a.since, silence: int64(now.Sub(max(a.progressAt, snipeford.Instant(a.conn.readAt.Load()))) / time.Second)}
	if a.stage == StageRunning {
		blocked := a.conn.writeBlocked(now)
		if blocked < stalledWriteTime {
			return rank{}, false
		}
		r.silence = int64(blocked / time.Second)
	}
	r.overShare = b.overAddressShare(a.address, b.Capacity) ||
		len(b.organisations) > 1 && a.organisation != "" && b.organisations[a.organisation] > b.Capacity/organisationShare
	return r, true
}

// overAddressShare reports whether an address holds more than its share of a total, and
// others hold anything.
func (b *Budget) overAddressShare(address netip.Addr, total int64) bool {
	return len(b.addresses) > 1 && b.addresses[address] > total/addressShare
}

// contextKey is the key of the account in the context of a request.
type contextKey struct{}

// FromContext returns the account of the connection of a request, or nil.
func FromContext(ctx context.Context) *Account {
	a, _ := ctx.Value(contextKey{}).(*Account)
	return a
}
