package wasabistate

import wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"

type claimState uint8

const (
	claimHeld claimState = iota + 1
	claimDone
	claimDoneLarge
	claimUnknown
	claimStates
)

// ownerKey is a node's incarnation. Claims of one incarnation share it.
type ownerKey struct {
	instance    string
	incarnation uint64
}

type owner struct {
	ownerKey
	claims int
	// number is the owner's place in the snapshot that is being made, from 1.
	number uint32
}

// answer is what is kept of a recorded answer. The digest covers the answer
// as it was sent, so that a resend is recognized when its body was not kept.
type answer struct {
	digest  [16]byte
	message []byte
}

type claim struct {
	key         [32]byte
	fingerprint [32]byte
	owner       *owner
	call        uint64
	deadline    int64
	// queued is when the claim entered its place in the queue.
	queued int64
	// forget is when the claim counts as forgotten, collected or not.
	forget         int64
	answer         *answer
	previous, next *claim
	state          claimState
}

func (c *claim) ownedBy(o *wasabistandv1.ClaimOwner) bool {
	return c.call == o.GetCall() && c.owner.incarnation == o.GetIncarnation() && c.owner.instance == o.GetInstance()
}

// claims is the claim table. It is keyed by the first half of the key's hash,
// which saves 16 bytes a claim; a different key with the same half is refused.
type claims struct {
	byKey  map[[16]byte]*claim
	owners map[ownerKey]*owner
	// queue is a ring through all claims, ordered by queued.
	queue       *claim
	states      [claimStates]int
	answerBytes int64
}

func newClaims() claims {
	ring := new(claim)
	ring.previous, ring.next = ring, ring
	return claims{byKey: make(map[[16]byte]*claim), owners: make(map[ownerKey]*owner), queue: ring}
}

func (s *claims) count() int { return len(s.byKey) }

// find returns the claim of a key, nil for none. It drops one whose time has
// passed. collides says that another key has the place.
func (s *claims) find(key [32]byte, now int64) (c *claim, collides bool) {
	c = s.byKey[[16]byte(key[:])]
	if c == nil {
		return nil, false
	}
	if c.forget <= now {
		s.remove(c)
		return nil, false
	}
	if c.key != key {
		return nil, true
	}
	return c, false
}

func (s *claims) acquire(k ownerKey) *owner {
	o := s.owners[k]
	if o == nil {
		o = &owner{ownerKey: k}
		s.owners[k] = o
	}
	o.claims++
	return o
}

func (s *claims) insert(c *claim) {
	s.byKey[[16]byte(c.key[:])] = c
	s.push(c)
	s.states[c.state]++
	if c.answer != nil {
		s.answerBytes += int64(len(c.answer.message))
	}
}

func (s *claims) remove(c *claim) {
	delete(s.byKey, [16]byte(c.key[:]))
	s.unlink(c)
	s.states[c.state]--
	if c.answer != nil {
		s.answerBytes -= int64(len(c.answer.message))
	}
	if c.owner.claims--; c.owner.claims == 0 {
		delete(s.owners, c.owner.ownerKey)
	}
}

func (s *claims) settle(c *claim, state claimState, a *answer) {
	s.states[c.state]--
	s.states[state]++
	c.state, c.answer = state, a
	if a != nil {
		s.answerBytes += int64(len(a.message))
	}
}

func (s *claims) requeue(c *claim, now, forget int64) {
	s.unlink(c)
	c.queued, c.forget = now, forget
	s.push(c)
}

func (s *claims) push(c *claim) {
	last := s.queue.previous
	c.previous, c.next = last, s.queue
	last.next, s.queue.previous = c, c
}

func (s *claims) unlink(c *claim) {
	c.previous.next, c.next.previous = c.next, c.previous
	c.previous, c.next = nil, nil
}

// oldest returns the claim that was queued first, nil for none.
func (s *claims) oldest() *claim {
	if len(s.byKey) == 0 {
		return nil
	}
	return s.queue.next
}

// collectSteps is how many claims one request looks at. Each request adds at
// most one claim and requeues at most one, so a few steps keep up.
const collectSteps = 4

// collect drops claims whose time has passed. A claim that must be kept for
// longer than one retention, because its deadline was late, goes to the end of
// the queue; this happens at most once a retention.
func (s *claims) collect(now int64, l Limits) {
	for range collectSteps {
		c := s.oldest()
		switch {
		case c == nil || c.queued+l.ClaimRetention.Milliseconds() > now:
			return
		case c.forget <= now:
			s.remove(c)
		default:
			s.requeue(c, now, c.forget)
		}
	}
}

// ClaimStats counts the claims.
type ClaimStats struct {
	Held, Done, DoneLarge, Unknown int
	// Owners is how many incarnations of nodes hold claims.
	Owners int
	// AnswerBytes is the size of the recorded answers.
	AnswerBytes int64
}

// Total returns how many claims the table holds.
func (s ClaimStats) Total() int { return s.Held + s.Done + s.DoneLarge + s.Unknown }

// Claims counts the claims in the table. Those whose time has passed count
// until they are collected.
func (m *Machine) Claims() ClaimStats {
	s := &m.claims
	return ClaimStats{
		Held: s.states[claimHeld], Done: s.states[claimDone], DoneLarge: s.states[claimDoneLarge], Unknown: s.states[claimUnknown],
		Owners: len(s.owners), AnswerBytes: s.answerBytes,
	}
}
