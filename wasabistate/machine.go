package wasabistate

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
)

// Machine is the replicated state. It must be called from one goroutine.
type Machine struct {
	options           Options
	limits            Limits
	now               int64 // latest time of a command, in Unix milliseconds
	configuration     configuration
	commandRecords    commandRecords
	numberedRevisions numberedRevisions
	claims            claimTable
}

var _ wasabistand.StateMachine = (*Machine)(nil)

// New returns an empty machine.
func New(o Options) *Machine {
	return &Machine{
		options:           o,
		limits:            o.limits,
		configuration:     newConfiguration(),
		commandRecords:    newCommandRecords(),
		numberedRevisions: newNumberedRevisions(),
		claims:            newClaimTable(),
	}
}

// String returns a short description of the state.
func (m *Machine) String() string {
	return fmt.Sprintf("state(revision %d, %d claims)", m.configuration.revision, m.claims.count())
}

// Now returns the latest time carried by a command.
func (m *Machine) Now() time.Time { return time.UnixMilli(m.now) }

// Limits returns the active limits.
func (m *Machine) Limits() Limits { return m.limits }

// Apply executes a StateCommand. The result is one of this package's Result
// types.
func (m *Machine) Apply(_ uint64, command []byte) any {
	var c wasabistandv1.StateCommand
	if err := proto.Unmarshal(command, &c); err != nil {
		return InvalidResult{Err: wasabistand.ErrInvalid.New("command: %v", err)}
	}
	// Leaders' clocks differ. If the time went back, a claim that was already
	// reported as unknown would be reported as held again.
	m.now = max(m.now, min(c.GetProposedUnixMs(), maxUnixMillis))
	m.commandRecords.expire(m.now, m.options)
	m.claims.removeExpired(m.now, m.limits)
	switch k := c.GetKind().(type) {
	case *wasabistandv1.StateCommand_Apply:
		return m.applyDocument(k.Apply)
	case *wasabistandv1.StateCommand_Drain:
		return m.setDrained(k.Drain)
	case *wasabistandv1.StateCommand_Adopt:
		return m.installRevision(k.Adopt)
	case *wasabistandv1.StateCommand_ClaimTake:
		return m.takeClaim(k.ClaimTake)
	case *wasabistandv1.StateCommand_ClaimSettle:
		return m.settleClaim(k.ClaimSettle)
	case *wasabistandv1.StateCommand_Claims:
		return m.applyClaimBatch(k.Claims)
	case *wasabistandv1.StateCommand_Limits:
		return m.setLimits(k.Limits)
	default:
		return TickResult{}
	}
}

func (m *Machine) setLimits(c *wasabistandv1.LimitsCommand) any {
	l, err := decodeLimits(c)
	if err != nil {
		return InvalidResult{Err: err}
	}
	m.limits = l
	return LimitsResult{Limits: l}
}

func decodeLimits(c *wasabistandv1.LimitsCommand) (Limits, error) {
	// Values are clamped before the conversion, so that none wraps around
	// into the allowed range.
	l := Limits{
		ClaimRetention: time.Duration(min(max(c.GetClaimRetentionMs(), -1), 1<<40)) * time.Millisecond,
		ClaimEntries:   int(min(c.GetClaimEntries(), 1<<40)),
		AnswerBytes:    int64(min(c.GetAnswerBytes(), 1<<60)),
	}
	return l, l.check()
}

func encodeLimits(l Limits) *wasabistandv1.LimitsCommand {
	return &wasabistandv1.LimitsCommand{
		ClaimRetentionMs: l.ClaimRetention.Milliseconds(),
		ClaimEntries:     uint64(l.ClaimEntries),
		AnswerBytes:      uint64(l.AnswerBytes),
	}
}

func checkLength(name, value string, minBytes, maxBytes int) error {
	if len(value) < minBytes || len(value) > maxBytes {
		return wasabistand.ErrInvalid.New("%s: %d bytes, allowed are %d to %d", name, len(value), minBytes, maxBytes)
	}
	return nil
}

// digest hashes fields with their lengths, so that no two lists of fields
// have the same input.
func digest(fields ...string) [32]byte {
	var buffer [512]byte
	b := buffer[:0]
	for _, f := range fields {
		b = binary.AppendUvarint(b, uint64(len(f)))
		b = append(b, f...)
	}
	return sha256.Sum256(b)
}

// fifo is a queue whose operations take amortized constant time.
type fifo[T any] struct {
	items []T
	head  int
}

func (q *fifo[T]) len() int     { return len(q.items) - q.head }
func (q *fifo[T]) at(i int) T   { return q.items[q.head+i] }
func (q *fifo[T]) push(value T) { q.items = append(q.items, value) }

func (q *fifo[T]) pop() T {
	var zero T
	value := q.items[q.head]
	q.items[q.head] = zero
	q.head++
	if q.head > len(q.items)/2 {
		n := copy(q.items, q.items[q.head:])
		clear(q.items[n:])
		q.items, q.head = q.items[:n], 0
	}
	return value
}
