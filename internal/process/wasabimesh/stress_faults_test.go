package wasabimesh_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabicontrol"
)

const (
	// Operators turn to another instance after clientTimeout. Instances go on for
	// requestTimeout.
	clientTimeout  = time.Second
	requestTimeout = 3 * time.Second
	readTimeout    = 900 * time.Millisecond
	maxAttempts    = 12
)

// document returns a configuration with a content and some padding.
func document(random *rand.Rand, content string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[[Callers]]\nName = %q\nPatience = \"1s\"\n", content)
	size := random.IntN(100)
	if random.IntN(25) == 0 {
		size *= 90 // so that snapshots are sent in parts
	}
	for k := range size {
		fmt.Fprintf(&b, "[[Callers]]\nName = \"caller-%d-%d\"\nPatience = \"2s\"\n", k, random.Uint64())
	}
	return b.String()
}

// contentOf returns the content of a document.
func contentOf(toml string) string {
	_, rest, _ := strings.Cut(toml, "\"")
	content, _, _ := strings.Cut(rest, "\"")
	return content
}

// operate sends changes in bursts until the run ends.
func (s *stress) operate(random *rand.Rand, name string) {
	for k := 0; time.Now().Before(s.end); k++ {
		s.mu.Lock()
		quiet := time.Until(s.quietUntil)
		s.mu.Unlock()
		time.Sleep(quiet)
		base := s.oracle.newest()
		c := change{base: base, revision: base + 1 + random.Uint64N(4), content: fmt.Sprintf("%s-%d", name, k), valid: true}
		toml := document(random, c.content)
		switch random.IntN(20) {
		case 0:
			c.revision, c.valid = max(base, 1)-random.Uint64N(min(max(base, 1), 3)), base == 0
		case 1:
			toml, c.valid = toml+"Patience = \"-1s\"\n", false
		}
		s.oracle.send(c)
		if s.sendUntilClear(random, c, toml) && random.IntN(3) == 0 {
			s.sendUntilClear(random, c, toml)
		}
		// Bursts of changes, and pauses between them.
		pause := random.IntN(50)
		if random.IntN(4) == 0 {
			pause *= 20
		}
		time.Sleep(time.Duration(pause) * time.Millisecond)
	}
}

// sendUntilClear sends a change to one member after another until a response is clear,
// and reports whether it was acknowledged.
func (s *stress) sendUntilClear(random *rand.Rand, c change, toml string) bool {
	pause := 20 * time.Millisecond
	for attempt := range maxAttempts {
		if attempt > 0 {
			if time.Now().After(s.end) {
				break
			}
			time.Sleep(pause)
			pause = min(2*pause, 500*time.Millisecond)
		}
		_, i := s.randomMember(random)
		if i == nil {
			continue
		}
		cancelEarly, isLost := random.IntN(2) == 0, random.IntN(10) == 0
		ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
		answers := make(chan error, 1)
		go func() {
			defer cancel()
			_, err := i.Apply(ctx, "platform", &wasabistandv1.ApplyRequest{ExpectedRevision: c.base, Revision: c.revision, Toml: toml})
			if err == nil {
				s.oracle.confirm(time.Now(), c)
			}
			answers <- err
		}()
		var err error
		select {
		case err = <-answers:
		case <-time.After(clientTimeout):
			if cancelEarly {
				cancel()
			}
			s.count("no answer")
			continue
		}
		switch {
		case isLost:
			s.count("lost answers")
		case err == nil:
			s.count("acknowledged")
			return true
		case wasabicontrol.IsConflict(err), wasabicontrol.CodeOf(err) == connect.CodeInvalidArgument:
			s.oracle.refuse(time.Now(), c, err)
			s.count("refused")
			return false
		default:
			s.count("unclear")
		}
	}
	s.count("given up")
	return false
}

// readAll reads at random members until the run ends.
func (s *stress) readAll(random *rand.Rand) {
	for time.Now().Before(s.end) {
		time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
		if id, i := s.randomMember(random); i != nil {
			_ = s.readAt(id, i)
		}
	}
}

func (s *stress) readAt(id string, i *wasabicontrol.Instance) error {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	sent := time.Now()
	revision, toml, err := i.Configuration(ctx)
	if err != nil {
		s.count("failed reads")
		return err
	}
	s.count("reads")
	s.oracle.read(sent, time.Now(), id, revision, contentOf(toml))
	return nil
}

// begin notes a fault of control instances. The function that it returns ends it.
func (s *stress) begin(format string, args ...any) func() {
	at := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults++
	s.faultAt = at
	k := len(s.schedule)
	s.schedule = append(s.schedule, fmt.Sprintf("%7.3f %s", at.Sub(s.oracle.started).Seconds(), fmt.Sprintf(format, args...)))
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.faults--
		s.faultAt = time.Now()
		s.schedule[k] += fmt.Sprintf(" until %.3f", s.faultAt.Sub(s.oracle.started).Seconds())
	}
}

const (
	// calmTime is the contact window and the time in which a change must be in force, with
	// some room to see changes.
	calmTime = contactWindow + applyBound + time.Second
	// quietTime ends a calm time. Changes confirmed before it must be in force at its end.
	quietTime = applyBound + 500*time.Millisecond
)

// injectFaults injects faults into control instances, with calm times between, until the
// run ends.
func (s *stress) injectFaults(random *rand.Rand) {
	time.Sleep(2 * time.Second)
	for round := 0; time.Now().Before(s.end.Add(-2 * time.Second)); round++ {
		order := random.Perm(controlCount)
		var wait sync.WaitGroup
		for k := range 1 + random.IntN(3) {
			f := s.newFault(random, order[k], order, round)
			delay, length := random.IntN(1500), time.Duration(100+random.IntN(3900))*time.Millisecond
			wait.Go(func() {
				time.Sleep(time.Duration(delay) * time.Millisecond)
				f(length)
			})
		}
		wait.Wait()
		time.Sleep(calmTime - quietTime)
		s.mu.Lock()
		s.quietUntil = time.Now().Add(quietTime)
		s.mu.Unlock()
		time.Sleep(quietTime)
	}
}

// newFault returns a fault of the member with a number. At most the first two members of
// the order lose their disks, as many as a group must bear.
func (s *stress) newFault(random *rand.Rand, number int, order []int, round int) func(length time.Duration) {
	m := s.members[number]
	kind := random.IntN(9)
	if kind >= 7 && number != order[0] && number != order[1] {
		kind -= 7
	}
	if kind == 3 && number != order[0] {
		kind = 0
	}
	return func(length time.Duration) {
		switch kind {
		case 0, 1:
			defer s.begin("%s is killed", m.id)()
			s.kill(m)
			time.Sleep(length)
			s.open(m)
		case 2:
			defer s.begin("%s stops as planned", m.id)()
			s.shutdown(m)
			time.Sleep(length)
			s.open(m)
		case 3:
			s.losePower(length)
		case 4, 5, 6:
			s.cutOff(m, kind, length)
		case 7:
			defer s.begin("%s loses its disk", m.id)()
			s.kill(m)
			m.changing.Lock()
			s.mu.Lock()
			isStopped := m.daemon == nil
			s.mu.Unlock()
			if isStopped {
				if err := os.RemoveAll(m.folder); err != nil {
					s.t.Error(err)
				}
			}
			m.changing.Unlock()
			time.Sleep(length / 4)
			s.open(m)
		case 8:
			s.replace(m, number, fmt.Sprintf("c%d-%d", number, round))
		}
	}
}

// losePower stops all members at once, with what is on the way lost.
func (s *stress) losePower(length time.Duration) {
	defer s.begin("all lose power")()
	s.mu.Lock()
	members := slices.Clone(s.members)
	s.mu.Unlock()
	list := s.pathsOf(members...)
	s.network.setCut(true, list...)
	var wait sync.WaitGroup
	for _, m := range members {
		wait.Go(func() { s.kill(m) })
	}
	wait.Wait()
	time.Sleep(length / 4)
	s.network.setCut(false, list...)
	for _, m := range members {
		wait.Go(func() { s.open(m) })
	}
	wait.Wait()
}

// cutOff cuts the paths between a member and all others in one direction or both.
func (s *stress) cutOff(m *member, kind int, length time.Duration) {
	var list []path
	for _, p := range s.pathsOf(m) {
		if kind == 4 && p.from == m.id || kind == 5 && p.to == m.id || kind == 6 {
			list = append(list, p)
		}
	}
	defer s.begin("%s is cut off: %s", m.id, [...]string{"from it", "to it", "both ways"}[kind-4])()
	s.network.setCut(true, list...)
	time.Sleep(length)
	s.network.setCut(false, list...)
}

// replace stops a member for good and starts one with another name and address.
func (s *stress) replace(m *member, number int, id string) {
	defer s.begin("%s is replaced by %s", m.id, id)()
	s.kill(m)
	n := s.newMember(id)
	s.mu.Lock()
	m.isGone, s.members[number] = true, n
	s.mu.Unlock()
	n.settings.InitialMembers = s.seeds()
	s.open(n)
	for _, node := range s.nodes {
		node.mu.Lock()
		node.session.SetControlAddresses(s.seedAddresses()...)
		node.mu.Unlock()
	}
}

// pathsOf returns all paths that begin or end at the members.
func (s *stress) pathsOf(list ...*member) (paths []path) {
	var names []string
	s.mu.Lock()
	for _, m := range s.members {
		names = append(names, m.id)
	}
	s.mu.Unlock()
	for _, n := range s.nodes {
		names = append(names, n.id)
	}
	for _, m := range list {
		for _, name := range names {
			paths = append(paths, path{m.id, name}, path{name, m.id})
		}
	}
	return paths
}

// finish waits until all machines are in touch, and checks that all control instances
// answer reads. The configurations in force at nodes are checked meanwhile.
func (s *stress) finish() {
	limit := time.Now().Add(maxFinalTime)
	for {
		s.mu.Lock()
		members, wait := slices.Clone(s.members), time.Until(s.faultAt.Add(finalTime))
		s.mu.Unlock()
		switch {
		case wait > 0 && time.Now().After(limit):
			s.t.Logf("starved for %v: the reads at the end were not checked", maxFinalTime)
			return
		case wait > 0:
			time.Sleep(min(wait, time.Second))
			continue
		}
		for _, m := range members {
			if m.daemon == nil {
				continue // its start failed, which is reported
			}
			err := s.readAt(m.id, m.daemon.Instance())
			s.mu.Lock()
			wait = time.Until(s.faultAt.Add(finalTime))
			s.mu.Unlock()
			if err != nil && wait <= 0 {
				s.t.Errorf("%s doesn't answer reads %v after the last fault: %v", m.id, finalTime, err)
			}
		}
		return
	}
}
