package wasabistate

import (
	"strconv"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
)

// commandRecord is an executed command with its first result.
type commandRecord struct {
	id         string
	issuedAt   int64
	acceptedAt int64
	content    [32]byte
	result     any // AppliedResult, ConflictResult or RefusedResult
}

// commandRecords holds the latest commands in the order of acceptance, so that
// retries are recognized.
type commandRecords struct {
	byID  map[string]*commandRecord
	queue fifo[*commandRecord]
	// latestEvicted is the latest issue time among evicted commands. A command
	// without a record that was issued later has certainly never run.
	latestEvicted int64
}

func newCommandRecords() commandRecords {
	return commandRecords{byID: make(map[string]*commandRecord)}
}

func (s *commandRecords) expire(now int64, o Options) {
	for s.queue.len() > 0 && s.queue.at(0).acceptedAt+o.commandRecordAge.Milliseconds() <= now {
		s.evictOldest(o)
	}
}

func (s *commandRecords) evictOldest(o Options) {
	record := s.queue.pop()
	delete(s.byID, record.id)
	if !o.faults.ignoreEvictions {
		s.latestEvicted = max(s.latestEvicted, record.issuedAt)
	}
}

func (s *commandRecords) add(record *commandRecord, o Options) {
	for s.queue.len() >= o.maxCommandRecords {
		s.evictOldest(o)
	}
	s.byID[record.id] = record
	s.queue.push(record)
}

// runOnce runs a command unless its identity shows that it ran or may have run.
// Results of run are recorded; other results change nothing.
func (m *Machine) runOnce(c *wasabistandv1.CommandIdentity, content [32]byte, run func() any) any {
	if err := checkLength("command.id", c.GetId(), minIdentityBytes, maxIdentityBytes); err != nil {
		return InvalidResult{Err: err}
	}
	issued := c.GetIssuedUnixMs()
	if first, ok := m.commandRecords.byID[c.GetId()]; ok {
		if first.content != content || first.issuedAt != issued {
			return ReusedResult{ID: c.GetId()}
		}
		return markRepeated(first.result)
	}
	cutoff := m.commandRecords.latestEvicted
	if !m.options.faults.ignoreEvictions {
		cutoff = max(cutoff, m.now-m.options.commandRecordAge.Milliseconds())
	}
	if issued <= cutoff {
		return TooOldResult{IssuedUnixMs: issued, AfterUnixMs: cutoff}
	}
	if issued > m.now+maxClockSkewMillis {
		return InvalidResult{Err: wasabistand.ErrInvalid.New("command.issued_unix_ms: %d, allowed is at most %d", issued, m.now+maxClockSkewMillis)}
	}
	result := run()
	m.commandRecords.add(&commandRecord{id: c.GetId(), issuedAt: issued, acceptedAt: m.now, content: content, result: result}, m.options)
	return result
}

func markRepeated(result any) any {
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

func applyDigest(c *wasabistandv1.ApplyCommand) [32]byte {
	fields := []string{"apply", strconv.FormatUint(c.GetExpectedRevision(), 10), c.GetToml(), c.GetOperator(), c.GetComment()}
	if n := c.GetRevision(); n != 0 {
		fields = append(fields, strconv.FormatUint(n, 10))
	}
	return digest(fields...)
}

func drainDigest(c *wasabistandv1.DrainCommand) [32]byte {
	return digest("drain", c.GetInstance(), strconv.FormatBool(c.GetDrained()), c.GetOperator(), c.GetComment())
}
