package wasabiadmission

import (
	"slices"
	"time"

	"github.com/wasabistand/wasabistand"
)

const (
	// noDeadline is the timeout of a call without a deadline.
	noDeadline = 24 * time.Hour
	// minCharge is the least that a call is charged when it starts. It keeps
	// callers alternating from the first call on, while the service time is
	// not known.
	minCharge = time.Millisecond
)

// call is a waiting or running call.
type call struct {
	wasabistand.Ticket
	account *account
	started time.Time
	// charged is the slot time already added to account.servedTime.
	charged   time.Duration
	preempted bool
	// heapIndex is the index in the deadline heap while the call waits.
	heapIndex int
	// runningIndex is the index in Queue.running, -1 while the call is not
	// running.
	runningIndex int
}

// account tracks the waiting calls of one caller and the slot time that it has
// used.
type account struct {
	name string
	// servedTime is the slot time used. It is raised to accounts.virtualTime
	// when the caller returns from idle.
	servedTime time.Duration
	calls      int
	// waiting holds the waiting calls by importance, latest deadline first.
	waiting [importanceArraySize][]*call
	// activeIndex holds, by importance, the index in accounts.active.
	activeIndex [importanceArraySize]int
	// idleIndex is the index in accounts.idle, -1 while the caller has calls.
	idleIndex int
}

// accounts holds one account per caller, up to a limit.
type accounts struct {
	limit  int
	byName map[string]*account
	idle   []*account
	active [importanceArraySize][]*account
	// overflow is the account that all callers beyond the limit share.
	overflow *account
	// virtualTime is the servedTime of the last admitted caller before it was
	// charged. Callers that return from idle start from it, so that idle time
	// earns no credit.
	virtualTime time.Duration
}

func newAccounts(limit int) accounts {
	return accounts{
		limit:    limit,
		byName:   make(map[string]*account),
		overflow: &account{idleIndex: -1},
	}
}

// waitingCount returns how many calls of importance i the caller has waiting.
// Callers beyond the limit are counted together.
func (s *accounts) waitingCount(name string, i wasabistand.Importance) int {
	a, ok := s.byName[name]
	if !ok {
		if len(s.byName) < s.limit || len(s.idle) > 0 {
			return 0
		}
		a = s.overflow
	}
	return len(a.waiting[i])
}

// open returns the account for a new call of the named caller. It reuses
// the account of an idle caller when the limit is reached, or else returns the
// overflow account.
func (s *accounts) open(name string) *account {
	a, ok := s.byName[name]
	switch {
	case ok:
	case len(s.byName) < s.limit:
		a = &account{name: name, idleIndex: -1}
		s.byName[name] = a
	case len(s.idle) > 0:
		a = s.idle[len(s.idle)-1]
		delete(s.byName, a.name)
		a.name, a.servedTime = name, 0
		s.byName[name] = a
	default:
		a = s.overflow
	}
	if a.calls == 0 {
		a.servedTime = max(a.servedTime, s.virtualTime)
		if a.idleIndex >= 0 {
			last := s.idle[len(s.idle)-1]
			s.idle[a.idleIndex], last.idleIndex = last, a.idleIndex
			s.idle = s.idle[:len(s.idle)-1]
			a.idleIndex = -1
		}
	}
	return a
}

// close removes one call from an account and marks the account idle if it
// was the last.
func (s *accounts) close(a *account) {
	a.calls--
	if a.calls == 0 && a != s.overflow {
		a.idleIndex = len(s.idle)
		s.idle = append(s.idle, a)
	}
}

// latestDeadlineFirst compares calls by deadline, latest first, and then by
// ID, so that every run produces the same order.
func latestDeadlineFirst(c, d *call) int {
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
	if len(a.waiting[i]) == 0 {
		a.activeIndex[i] = len(s.active[i])
		s.active[i] = append(s.active[i], a)
	}
	n, _ := slices.BinarySearchFunc(a.waiting[i], c, latestDeadlineFirst)
	a.waiting[i] = slices.Insert(a.waiting[i], n, c)
}

func (s *accounts) remove(c *call) {
	a, i := c.account, c.Importance
	n, _ := slices.BinarySearchFunc(a.waiting[i], c, latestDeadlineFirst)
	a.waiting[i] = slices.Delete(a.waiting[i], n, n+1)
	if len(a.waiting[i]) == 0 {
		list := s.active[i]
		last := list[len(list)-1]
		list[a.activeIndex[i]], last.activeIndex[i] = last, a.activeIndex[i]
		s.active[i] = list[:len(list)-1]
	}
}

// nextCall returns the waiting call of importance i to admit next: the
// earliest deadline of the caller with the least served time.
func (s *accounts) nextCall(i wasabistand.Importance) *call {
	var best *call
	for _, a := range s.active[i] {
		c := a.waiting[i][len(a.waiting[i])-1]
		if best == nil || a.servedTime < best.account.servedTime ||
			a.servedTime == best.account.servedTime && latestDeadlineFirst(c, best) > 0 {
			best = c
		}
	}
	return best
}

// lastCall returns the waiting call of importance i that would be admitted
// last.
func (s *accounts) lastCall(i wasabistand.Importance) *call {
	var best *call
	for _, a := range s.active[i] {
		c := a.waiting[i][0]
		if best == nil || a.servedTime > best.account.servedTime ||
			a.servedTime == best.account.servedTime && latestDeadlineFirst(c, best) < 0 {
			best = c
		}
	}
	return best
}

// mostWaiting returns the account with the most waiting calls of importance i,
// nil if there are none.
func (s *accounts) mostWaiting(i wasabistand.Importance) *account {
	var best *account
	for _, a := range s.active[i] {
		if best == nil || len(a.waiting[i]) > len(best.waiting[i]) ||
			len(a.waiting[i]) == len(best.waiting[i]) && a.servedTime > best.servedTime {
			best = a
		}
	}
	return best
}

// deadlineHeap is a heap of waiting calls, earliest deadline first.
type deadlineHeap []*call

func (d deadlineHeap) Len() int           { return len(d) }
func (d deadlineHeap) Less(i, j int) bool { return latestDeadlineFirst(d[i], d[j]) > 0 }

func (d deadlineHeap) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].heapIndex, d[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (d *deadlineHeap) Push(x any) {
	c := x.(*call)
	c.heapIndex = len(*d)
	*d = append(*d, c)
}

// Pop implements heap.Interface.
func (d *deadlineHeap) Pop() any {
	old := *d
	c := old[len(old)-1]
	old[len(old)-1] = nil
	*d = old[:len(old)-1]
	return c
}
