package wasabistate

import wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"

type claimState uint8

const (
	claimHeld      claimState = iota + 1 // granted and not settled
	claimDone                            // settled with a complete response
	claimDoneLarge                       // settled, only the status of the response is stored
	claimUnknown                         // settled, the outcome is unknown
	claimStateCount
)

// ownerKey identifies one incarnation of a node. Its claims share one owner.
type ownerKey struct {
	instance    string
	incarnation uint64
}

type owner struct {
	ownerKey
	claimCount int
	// snapshotNumber is the owner's position, from 1, in the snapshot being
	// encoded; 0 if it is not encoded yet.
	snapshotNumber uint32
}

// recordedResponse is the stored form of a response. The digest covers the
// response as it was sent, so that a retry of the settlement is recognized even
// if the body was not stored.
type recordedResponse struct {
	digest  [16]byte
	message []byte
}

type claim struct {
	key         [32]byte
	fingerprint [32]byte
	owner       *owner
	call        uint64
	deadline    int64
	// queuedAt is when the claim was appended to the queue, in Unix milliseconds.
	queuedAt int64
	// retainUntil is when the claim expires, whether or not it is removed then.
	retainUntil    int64
	response       *recordedResponse
	previous, next *claim
	state          claimState
}

func (c *claim) ownedBy(o *wasabistandv1.ClaimOwner) bool {
	return c.call == o.GetCall() && c.owner.incarnation == o.GetIncarnation() && c.owner.instance == o.GetInstance()
}

// claimTable holds the claims. It is indexed by the first half of the key's hash,
// which saves 16 bytes per claim; a different key with the same half is refused.
type claimTable struct {
	byKey  map[[16]byte]*claim
	owners map[ownerKey]*owner
	// queue is the sentinel of a circular list of all claims, ordered by queuedAt.
	queue         *claim
	stateCounts   [claimStateCount]int
	responseBytes int64
}

func newClaimTable() claimTable {
	sentinel := new(claim)
	sentinel.previous, sentinel.next = sentinel, sentinel
	return claimTable{byKey: make(map[[16]byte]*claim), owners: make(map[ownerKey]*owner), queue: sentinel}
}

func (s *claimTable) count() int { return len(s.byKey) }

// find returns the claim for a key, or nil if there is none. It removes the
// claim if it has expired. collides reports whether another key has the same
// index.
func (s *claimTable) find(key [32]byte, now int64) (c *claim, collides bool) {
	c = s.byKey[[16]byte(key[:])]
	if c == nil {
		return nil, false
	}
	if c.retainUntil <= now {
		s.remove(c)
		return nil, false
	}
	if c.key != key {
		return nil, true
	}
	return c, false
}

func (s *claimTable) acquire(k ownerKey) *owner {
	o := s.owners[k]
	if o == nil {
		o = &owner{ownerKey: k}
		s.owners[k] = o
	}
	o.claimCount++
	return o
}

func (s *claimTable) insert(c *claim) {
	s.byKey[[16]byte(c.key[:])] = c
	s.push(c)
	s.stateCounts[c.state]++
	if c.response != nil {
		s.responseBytes += int64(len(c.response.message))
	}
}

func (s *claimTable) remove(c *claim) {
	delete(s.byKey, [16]byte(c.key[:]))
	s.unlink(c)
	s.stateCounts[c.state]--
	if c.response != nil {
		s.responseBytes -= int64(len(c.response.message))
	}
	if c.owner.claimCount--; c.owner.claimCount == 0 {
		delete(s.owners, c.owner.ownerKey)
	}
}

func (s *claimTable) settle(c *claim, state claimState, response *recordedResponse) {
	s.stateCounts[c.state]--
	s.stateCounts[state]++
	c.state, c.response = state, response
	if response != nil {
		s.responseBytes += int64(len(response.message))
	}
}

func (s *claimTable) requeue(c *claim, now, retainUntil int64) {
	s.unlink(c)
	c.queuedAt, c.retainUntil = now, retainUntil
	s.push(c)
}

func (s *claimTable) push(c *claim) {
	last := s.queue.previous
	c.previous, c.next = last, s.queue
	last.next, s.queue.previous = c, c
}

func (s *claimTable) unlink(c *claim) {
	c.previous.next, c.next.previous = c.next, c.previous
	c.previous, c.next = nil, nil
}

// oldest returns the first claim of the queue, or nil if there is none.
func (s *claimTable) oldest() *claim {
	if len(s.byKey) == 0 {
		return nil
	}
	return s.queue.next
}

// expiryChecksPerRequest is how many claims each request checks for expiry. A
// request adds at most one claim and requeues at most one, so a few checks
// keep up.
const expiryChecksPerRequest = 4

// removeExpired removes expired claims. A claim that must be kept for longer
// than one retention, because its deadline was late, is moved to the end of the
// queue; this happens at most once per retention.
func (s *claimTable) removeExpired(now int64, l Limits) {
	for range expiryChecksPerRequest {
		c := s.oldest()
		switch {
		case c == nil || c.queuedAt+l.ClaimRetention.Milliseconds() > now:
			return
		case c.retainUntil <= now:
			s.remove(c)
		default:
			s.requeue(c, now, c.retainUntil)
		}
	}
}

// ClaimStats counts the claims in the table by state.
type ClaimStats struct {
	Held, Done, DoneLarge, Unknown int
	// Owners is the number of node incarnations that own claims.
	Owners int
	// AnswerBytes is the total size of the recorded responses.
	AnswerBytes int64
}

// Total returns the number of claims in the table.
func (s ClaimStats) Total() int { return s.Held + s.Done + s.DoneLarge + s.Unknown }

// Claims returns counts of the claims in the table. Expired claims count until
// they are removed.
func (m *Machine) Claims() ClaimStats {
	s := &m.claims
	return ClaimStats{
		Held: s.stateCounts[claimHeld], Done: s.stateCounts[claimDone], DoneLarge: s.stateCounts[claimDoneLarge], Unknown: s.stateCounts[claimUnknown],
		Owners: len(s.owners), AnswerBytes: s.responseBytes,
	}
}
