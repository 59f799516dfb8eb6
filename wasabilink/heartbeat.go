package wasabilink

import (
	"time"

	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/wasabiwire"
)

// runHeartbeat pings the peer when nothing was received for an interval (a
// longer one while no streams are open), and ends the link if a ping stays
// unanswered. Any received bytes make a ping unnecessary.
func (l *Link) runHeartbeat() {
	defer l.wait.Done()
	interval := l.options.heartbeatInterval
	first := time.NewTimer(interval - monotonicNow()%interval)
	defer first.Stop()
	select {
	case <-l.ctx.Done():
		return
	case <-first.C:
	}
	t := time.NewTicker(interval)
	defer t.Stop()
	for sequence := uint64(1); ; {
		switch l.nextHeartbeatAction(monotonicNow()) {
		case actionClose:
			if l.options.onSilent != nil {
				l.options.onSilent(l.address)
			}
			l.end(ErrSilent.New("%s did not answer for %v", l, l.options.silentAfter))
			return
		case actionPing:
			if err := l.ping(sequence); err != nil {
				l.end(Error.Wrap(err))
				return
			}
			sequence++
		case actionNone:
			if l.streams.Load() == 0 {
				l.conn.releaseBuffers()
			}
		}
		select {
		case <-l.ctx.Done():
			return
		case <-t.C:
		}
	}
}

type heartbeatAction int

const (
	actionNone heartbeatAction = iota
	actionPing
	actionClose
)

// nextHeartbeatAction returns what to do at a heartbeat tick.
func (l *Link) nextHeartbeatAction(now time.Duration) heartbeatAction {
	if since := l.unansweredSince.load(); since != timeUnset {
		if now-since >= l.options.silentAfter {
			return actionClose
		}
		return actionNone
	}
	lastRead := l.conn.lastRead.load()
	silentSince, interval := lastRead, l.options.idleHeartbeatInterval
	if l.streams.Load() > 0 {
		silentSince, interval = max(lastRead, l.activeSince.load()), l.options.heartbeatInterval
	}
	if now-silentSince < interval {
		return actionNone
	}
	if l.streams.Load() == 0 {
		// Silence of an idle link counts only from the ping on.
		silentSince = now
	}
	l.unansweredSince.store(silentSince)
	return actionPing
}

// ping sends one ping. The write has a deadline, because a silent peer may also
// have stopped reading and a blocked write would delay the detection.
func (l *Link) ping(sequence uint64) error {
	_ = l.control.raw.SetWriteDeadline(time.Now().Add(l.options.silentAfter))
	return l.control.Send(&wasabistandv1.LinkControl{Kind: &wasabistandv1.LinkControl_Ping{Ping: &wasabistandv1.LinkPing{Sequence: sequence, Time: l.now()}}})
}

func (l *Link) now() *wasabistandv1.HybridTime {
	if l.options.clock == nil {
		return nil
	}
	return wasabiwire.FromHybridTime(l.options.clock.Now())
}

func (l *Link) observe(t *wasabistandv1.HybridTime) {
	if l.options.clock != nil && t != nil {
		l.options.clock.Observe(wasabiwire.ToHybridTime(t))
	}
}
