package wasabimesh_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// applyBound is the time in which a confirmed change is in force at nodes in touch.
const applyBound = 2500 * time.Millisecond

// change is a configuration that an operator sends. Its content names it alone.
type change struct {
	base, revision uint64
	content        string
	valid          bool
}

// confirmation is a change with the time at which its operator learned of it.
type confirmation struct {
	change
	at time.Time
}

// oracle checks what operators and nodes see of changes. It is safe for concurrent use.
type oracle struct {
	mu        sync.Mutex
	started   time.Time
	sent      map[string]change // by content
	confirmed []confirmation
	accepted  map[string]bool      // contents that were acknowledged
	refused   map[string]time.Time // contents that were refused
	byBase    map[uint64]string    // confirmed contents by base
	inForce   map[string]string    // where a content was first seen
	latest    map[string]uint64    // the latest revision by lifetime of a node
	broken    []string
	isBroken  map[string]bool
}

func newOracle(now time.Time) *oracle {
	return &oracle{
		started: now, sent: map[string]change{}, accepted: map[string]bool{}, refused: map[string]time.Time{}, byBase: map[uint64]string{},
		inForce: map[string]string{}, latest: map[string]uint64{}, isBroken: map[string]bool{},
	}
}

// report records a broken rule once for each key.
func (o *oracle) report(at time.Time, key, format string, args ...any) {
	if o.isBroken[key] {
		return
	}
	o.isBroken[key] = true
	o.broken = append(o.broken, fmt.Sprintf("%7.3f %s: %s", at.Sub(o.started).Seconds(), key, fmt.Sprintf(format, args...)))
}

// send records a change before its first request.
func (o *oracle) send(c change) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sent[c.content] = c
}

// confirm records an acknowledgement.
func (o *oracle) confirm(at time.Time, c change) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !c.valid {
		o.report(at, "invalid change "+c.content, "revision %d on %d was acknowledged", c.revision, c.base)
	}
	if other, ok := o.byBase[c.base]; ok && other != c.content {
		o.report(at, fmt.Sprintf("base %d", c.base), "%s and %s were both acknowledged", other, c.content)
	}
	if when, ok := o.refused[c.content]; ok {
		o.report(at, "refused change "+c.content, "acknowledged after its refusal at %.3f", when.Sub(o.started).Seconds())
	}
	o.byBase[c.base] = c.content
	if !o.accepted[c.content] {
		o.accepted[c.content] = true
		o.confirmed = append(o.confirmed, confirmation{c, at})
	}
}

// refuse records a refusal, which is final.
func (o *oracle) refuse(at time.Time, c change, reason error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.accepted[c.content] {
		o.report(at, "repeated change "+c.content, "refused after its acknowledgement: %v", reason)
	}
	o.refused[c.content] = at
}

// required returns the newest revision that was confirmed by a time, 0 for none.
func (o *oracle) required(by time.Time) (revision uint64) {
	for _, c := range o.confirmed {
		if !c.at.After(by) {
			revision = max(revision, c.revision)
		}
	}
	return revision
}

// newest returns the newest confirmed revision.
func (o *oracle) newest() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.required(time.Now())
}

// checkContent checks that a content belongs to a revision.
func (o *oracle) checkContent(at time.Time, where string, revision uint64, content string) {
	if c, ok := o.sent[content]; !ok || c.revision != revision {
		o.report(at, fmt.Sprintf("content of %d at %s", revision, where), "%q, it was sent as %d", content, c.revision)
	}
	if _, ok := o.inForce[content]; !ok {
		o.inForce[content] = where
	}
}

// read records a configuration that was read at a control instance, of revision 0 for
// none. Reads are linearizable.
func (o *oracle) read(sentAt, at time.Time, where string, revision uint64, content string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if revision != 0 {
		o.checkContent(at, where, revision, content)
	}
	if want := o.required(sentAt); revision < want {
		o.report(at, fmt.Sprintf("read at %s of %d", where, revision), "sent at %.3f, %d was confirmed before", sentAt.Sub(o.started).Seconds(), want)
	}
}

// see records the configuration in force at a node. at is a time before it was loaded.
// lifetime names the process of the node.
func (o *oracle) see(at time.Time, lifetime string, inTouch bool, revision uint64, content string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if revision != 0 && revision != o.latest[lifetime] {
		o.checkContent(at, lifetime, revision, content)
	}
	if last := o.latest[lifetime]; revision < last {
		o.report(at, "regress at "+lifetime, "%d in force after %d", revision, last)
	}
	o.latest[lifetime] = max(o.latest[lifetime], revision)
	if want := o.required(at.Add(-applyBound)); inTouch && revision < want {
		o.report(at, fmt.Sprintf("change %d at %s", want, lifetime), "%d is in force", revision)
	}
}

// result returns the broken rules.
func (o *oracle) result(at time.Time) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	for content, when := range o.refused {
		if where, ok := o.inForce[content]; ok {
			o.report(at, "refused change "+content, "refused at %.3f, in force at %s", when.Sub(o.started).Seconds(), where)
		}
	}
	for content, where := range o.inForce {
		if c := o.sent[content]; !c.valid {
			o.report(at, "invalid change "+content, "in force at %s", where)
		}
	}
	return o.broken
}

// Guards against an oracle that misses a broken rule, or reports one that is kept.
func TestStressOracle(t *testing.T) {
	start := time.Now()
	after := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	first, second := change{0, 1, "first", true}, change{1, 3, "second", true}
	other := change{1, 2, "other", true}
	for _, test := range []struct {
		name   string
		broken int
		run    func(o *oracle)
	}{
		{"kept", 0, func(o *oracle) {
			o.see(after(1), "n", true, 0, "")
			o.see(after(5.9), "n", true, 1, "first")
			o.see(after(6.1), "n", true, 3, "second")
			o.read(after(3.4), after(3.6), "m", 1, "first")
			o.confirm(after(7), second)
			o.refuse(after(7), other, nil)
		}},
		{"not in force", 1, func(o *oracle) { o.see(after(6.1), "n", true, 1, "first") }},
		{"not in touch", 0, func(o *oracle) { o.see(after(6.1), "n", false, 1, "first") }},
		{"older at a node", 1, func(o *oracle) {
			o.see(after(4), "n", false, 3, "second")
			o.see(after(4.1), "n", false, 1, "first")
		}},
		{"older after a restart", 0, func(o *oracle) {
			o.see(after(4), "n/1", false, 3, "second")
			o.see(after(4.1), "n/2", false, 1, "first")
		}},
		{"older at a read", 1, func(o *oracle) { o.read(after(3.6), after(3.7), "m", 1, "first") }},
		{"other content", 1, func(o *oracle) { o.read(after(3.6), after(3.7), "m", 3, "other") }},
		{"refused when sent again", 1, func(o *oracle) { o.refuse(after(4), second, nil) }},
		{"two on one base", 1, func(o *oracle) { o.confirm(after(4), other) }},
		{"invalid", 1, func(o *oracle) { o.confirm(after(4), change{3, 2, "invalid", false}) }},
		{"refused and in force", 1, func(o *oracle) {
			o.refuse(after(3), other, nil)
			o.see(after(4), "n", false, 2, "other")
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			o := newOracle(start)
			for _, c := range []change{first, second, other, {3, 2, "invalid", false}} {
				o.send(c)
			}
			o.confirm(after(1), first)
			o.confirm(after(3.5), second)
			test.run(o)
			assert.Equal(t, len(o.result(after(9))), test.broken, "%v", o.broken)
		})
	}
}
