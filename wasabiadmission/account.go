package wasabiadmission

import (
	"slices"
	"time"

	"github.com/wasabistand/wasabistand"
)

const (
	// noDeadline stands for a missing deadline.
	noDeadline = 24 * time.Hour
	// minCharge is charged for a call whose service time is not known, so
	// that callers take turns from the first call on.
	minCharge = time.Millisecond
)

// call is one call that waits or runs.
type call struct {
	wasabistand.Ticket
	account *account
	started time.Time
	// charged is the slot time already counted in the account.
	charged   time.Duration
	preempted bool
	// heapIndex is the place in the deadline heap while the call waits.
	heapIndex int
	// position is the place among running calls, -1 while it does not run.
	position int
}

// account is what one caller was served.
type account struct {
	name string
	// served is the slot time used, with a floor for callers that were idle.
	served time.Duration
	calls  int
	// lines are the waiting calls by importance, latest deadline first.
	lines [classes][]*call
	// active is the place in the lists of accounts with waiting calls.
	active [classes]int
	// idle is the place in the list of accounts without calls, -1 for none.
	idle int
}

// accounts keeps the callers apart, up to a bound.
type accounts struct {
	limit  int
	byName map[string]*account
	idle   []*account
	active [classes][]*account
	// shared serves the callers beyond the bound.
	shared *account
	// virtual is what the caller served last had been served before: the
	// floor for callers that come back, so that idle time earns no credit.
	virtual time.Duration
}

func newAccounts(limit int) accounts {
	return accounts{
		limit:  limit,
		byName: make(map[string]*account),
		shared: &account{idle: -1},
	}
}

// waiting returns how many calls of an importance a caller has waiting, or
// all callers beyond the bound together.
func (s *accounts) waiting(name string, i wasabistand.Importance) int {
	a, ok := s.byName[name]
	if !ok {
		if len(s.byName) < s.limit || len(s.idle) > 0 {
			return 0
		}
		a = s.shared
	}
	return len(a.lines[i])
}

// open returns the account of a caller that makes a call.
func (s *accounts) open(name string) *account {
	a, ok := s.byName[name]
	switch {
	case ok:
	case len(s.byName) < s.limit:
		a = &account{name: name, idle: -1}
		s.byName[name] = a
	case len(s.idle) > 0:
		a = s.idle[len(s.idle)-1]
		delete(s.byName, a.name)
		a.name, a.served = name, 0
		s.byName[name] = a
	default:
		a = s.shared
	}
	if a.calls == 0 {
		a.served = max(a.served, s.virtual)
		if a.idle >= 0 {
			last := s.idle[len(s.idle)-1]
			s.idle[a.idle], last.idle = last, a.idle
			s.idle = s.idle[:len(s.idle)-1]
			a.idle = -1
		}
	}
	return a
}

// close ends one call of an account.
func (s *accounts) close(a *account) {
	a.calls--
	if a.calls == 0 && a != s.shared {
		a.idle = len(s.idle)
		s.idle = append(s.idle, a)
	}
}

// compareLatest orders calls by deadline, latest first, and then by identity,
// so that every run takes the same order.
func compareLatest(c, d *call) int {
	if r := d.Deadline.Compare(c.Deadline); r != 0 {
		return r
	}
	if c.ID > d.ID {
		return -1
	}
	if c.ID < d.ID {
		return 1
	}
	return 0
}

func (s *accounts) push(c *call) {
	a, i := c.account, c.Importance
	if len(a.lines[i]) == 0 {
		a.active[i] = len(s.active[i])
		s.active[i] = append(s.active[i], a)
	}
	n, _ := slices.BinarySearchFunc(a.lines[i], c, compareLatest)
	a.lines[i] = slices.Insert(a.lines[i], n, c)
}

func (s *accounts) remove(c *call) {
	a, i := c.account, c.Importance
	n, _ := slices.BinarySearchFunc(a.lines[i], c, compareLatest)
	a.lines[i] = slices.Delete(a.lines[i], n, n+1)
	if len(a.lines[i]) == 0 {
		list := s.active[i]
		last := list[len(list)-1]
		list[a.active[i]], last.active[i] = last, a.active[i]
		s.active[i] = list[:len(list)-1]
	}
}

// first returns the next call of an importance: of the caller that was served
// least, the one with the earliest deadline.
func (s *accounts) first(i wasabistand.Importance) *call {
	var best *call
	for _, a := range s.active[i] {
		c := a.lines[i][len(a.lines[i])-1]
		if best == nil || a.served < best.account.served ||
			a.served == best.account.served && compareLatest(c, best) > 0 {
			best = c
		}
	}
	return best
}

// last returns the call of an importance that would be served last.
func (s *accounts) last(i wasabistand.Importance) *call {
	var best *call
	for _, a := range s.active[i] {
		c := a.lines[i][0]
		if best == nil || a.served > best.account.served ||
			a.served == best.account.served && compareLatest(c, best) < 0 {
			best = c
		}
	}
	return best
}

// longest returns the account with the most waiting calls of an importance,
// nil for none.
func (s *accounts) longest(i wasabistand.Importance) *account {
	var best *account
	for _, a := range s.active[i] {
		if best == nil || len(a.lines[i]) > len(best.lines[i]) ||
			len(a.lines[i]) == len(best.lines[i]) && a.served > best.served {
			best = a
		}
	}
	return best
}

// deadlines is a heap of waiting calls, earliest deadline first.
type deadlines []*call

func (d deadlines) Len() int           { return len(d) }
func (d deadlines) Less(i, j int) bool { return compareLatest(d[i], d[j]) > 0 }

func (d deadlines) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].heapIndex, d[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (d *deadlines) Push(x any) {
	c := x.(*call)
	c.heapIndex = len(*d)
	*d = append(*d, c)
}

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	old := *d
	c := old[len(old)-1]
	old[len(old)-1] = nil
	*d = old[:len(old)-1]
	return c
}
