package wasabistate

import (
	"strconv"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
)

// identity is a remembered command with its first answer.
type identity struct {
	id       string
	issued   int64
	accepted int64
	content  [32]byte
	result   any // AppliedResult, ConflictResult or RefusedResult
}

// identities remembers the latest commands in the order of acceptance.
type identities struct {
	byID  map[string]*identity
	queue fifo[*identity]
	// forgotten is the latest issue time among forgotten commands. A command
	// that is not remembered and was issued later has certainly never run.
	forgotten int64
}

func newIdentities() identities {
	return identities{byID: make(map[string]*identity)}
}

func (s *identities) expire(now int64, o Options) {
	for s.queue.len() > 0 && s.queue.at(0).accepted+o.identityAge.Milliseconds() <= now {
		s.forget(o)
	}
}

func (s *identities) forget(o Options) {
	i := s.queue.pop()
	delete(s.byID, i.id)
	if !o.faults.forgetEarly {
		s.forgotten = max(s.forgotten, i.issued)
	}
}

func (s *identities) remember(i *identity, o Options) {
	for s.queue.len() >= o.maxIdentities {
		s.forget(o)
	}
	s.byID[i.id] = i
	s.queue.push(i)
}

// once runs a command unless its identity says that it ran or may have run.
// Answers of run are remembered; other refusals change nothing.
func (m *Machine) once(c *wasabistandv1.CommandIdentity, content [32]byte, run func() any) any {
	if err := checkText("command.id", c.GetId(), minIdentityBytes, maxIdentityBytes); err != nil {
		return InvalidResult{Err: err}
	}
	issued := c.GetIssuedUnixMs()
	if first, ok := m.identities.byID[c.GetId()]; ok {
		if first.content != content || first.issued != issued {
			return ReusedResult{ID: c.GetId()}
		}
		return repeated(first.result)
	}
	after := m.identities.forgotten
	if !m.options.faults.forgetEarly {
		after = max(after, m.now-m.options.identityAge.Milliseconds())
	}
	if issued <= after {
		return TooOldResult{IssuedUnixMs: issued, AfterUnixMs: after}
	}
	if issued > m.now+maxAheadMillis {
		return InvalidResult{Err: wasabistand.ErrInvalid.New("command.issued_unix_ms: %d, allowed is at most %d", issued, m.now+maxAheadMillis)}
	}
	result := run()
	m.identities.remember(&identity{id: c.GetId(), issued: issued, accepted: m.now, content: content, result: result}, m.options)
	return result
}

func repeated(result any) any {
	switch r := result.(type) {
	case AppliedResult:
		r.Repeated = true
		return r
	case ConflictResult:
		r.Repeated = true
		return r
	case RefusedResult:
		r.Repeated = true
		return r
	}
	return result
}

func applyContent(c *wasabistandv1.ApplyCommand) [32]byte {
	fields := []string{"apply", strconv.FormatUint(c.GetExpectedRevision(), 10), c.GetToml(), c.GetOperator(), c.GetComment()}
	if n := c.GetRevision(); n != 0 {
		fields = append(fields, strconv.FormatUint(n, 10))
	}
	return digest(fields...)
}

func drainContent(c *wasabistandv1.DrainCommand) [32]byte {
	return digest("drain", c.GetInstance(), strconv.FormatBool(c.GetDrained()), c.GetOperator(), c.GetComment())
}
