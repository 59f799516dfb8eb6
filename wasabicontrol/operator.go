package wasabicontrol

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wasabistand/wasabistand"
	wasabistandv1 "github.com/wasabistand/wasabistand/gen/wasabistand/v1"
	"github.com/wasabistand/wasabistand/gen/wasabistand/v1/wasabistandv1connect"
	"github.com/wasabistand/wasabistand/wasabiconfig"
	"github.com/wasabistand/wasabistand/wasabilink"
	"github.com/wasabistand/wasabistand/wasabiraft"
	"github.com/wasabistand/wasabistand/wasabistate"
	"github.com/wasabistand/wasabistand/wasabiwire"
)

const (
	// MaxDocumentBytes bounds a configuration document.
	MaxDocumentBytes = 1 << 20
	// maxRequestBytes leaves room for the other fields of a request.
	maxRequestBytes = MaxDocumentBytes + 64<<10
	maxHistory      = 1000
	defaultHistory  = 50
	// leaderPause is how often a leader is looked for during an election.
	leaderPause = 20 * time.Millisecond
	// forwardAttempt bounds one try at the leader, so that a lost one is
	// left within the time for the whole command.
	forwardAttempt = 2 * time.Second
)

// applyMethod names the command that replaces the configuration.
const applyMethod = wasabistandv1connect.OperatorServiceApplyProcedure

// command is a request that the leader of a group acts on. Requests with a
// command identity act once, so that they may be tried again.
type command struct {
	method   string
	group    string
	operator string
	request  proto.Message
	response proto.Message
}

// run acts on a command here or at the group's leader, across elections, for
// the bounded time.
func (i *Instance) run(ctx context.Context, c command) (proto.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, i.settings.operatorTimeout)
	defer cancel()
	unknown := false
	for {
		err := wasabistand.ErrNotLeader.New("group %q has no leader that is known here", c.group)
		if g := i.groups[c.group]; g == nil {
			return nil, wasabistand.ErrInvalid.New("group: %q, allowed are the groups of this control instance", c.group)
		} else if id, address := g.runner.Leader(); id == i.settings.id {
			var m proto.Message
			if m, err = i.act(ctx, c); err == nil {
				return m, nil
			}
		} else if id != "" && address != "" {
			if err = i.forward(ctx, address, c); err == nil {
				return c.response, nil
			}
		}
		unknown = unknown || wasabistand.ErrUnknownOutcome.Has(err)
		if !wasabistand.ErrNotLeader.Has(err) && !wasabistand.ErrUnknownOutcome.Has(err) {
			return nil, err
		}
		t := time.NewTimer(leaderPause)
		select {
		case <-ctx.Done():
			t.Stop()
			if unknown && !wasabistand.ErrUnknownOutcome.Has(err) {
				err = wasabistand.ErrUnknownOutcome.Wrap(err)
			}
			return nil, err
		case <-t.C:
		}
	}
}

// act acts on a command at the leader.
func (i *Instance) act(ctx context.Context, c command) (proto.Message, error) {
	g := i.groups[c.group]
	switch r := c.request.(type) {
	case *wasabistandv1.ApplyRequest:
		if err := checkDocument(r.GetToml()); err != nil {
			return nil, err
		}
		if err := i.durable(g); err != nil {
			return nil, err
		}
		a, err := i.decide(ctx, g, &wasabistandv1.StateCommand{Kind: &wasabistandv1.StateCommand_Apply{Apply: &wasabistandv1.ApplyCommand{
			Command: r.GetCommand(), ExpectedRevision: r.GetExpectedRevision(), Toml: r.GetToml(), Operator: c.operator, Comment: r.GetComment(),
			Revision: r.GetRevision(),
		}}})
		if err != nil {
			return nil, err
		}
		i.accepted("apply", c.operator, a)
		return &wasabistandv1.ApplyResponse{Revision: a.Revision, Repeated: a.Repeated}, nil
	case *wasabistandv1.DrainRequest:
		a, err := i.drain(ctx, g, c.operator, r.GetCommand(), r.GetInstance(), r.GetComment(), true)
		return &wasabistandv1.DrainResponse{Revision: a.Revision, Repeated: a.Repeated}, err
	case *wasabistandv1.UndrainRequest:
		a, err := i.drain(ctx, g, c.operator, r.GetCommand(), r.GetInstance(), r.GetComment(), false)
		return &wasabistandv1.UndrainResponse{Revision: a.Revision, Repeated: a.Repeated}, err
	case *wasabistandv1.ChangeMembersRequest:
		return i.changeMembers(ctx, g, c.operator, r)
	case *wasabistandv1.StatusRequest:
		return i.status(ctx)
	default:
		return nil, wasabistand.ErrInvalid.New("method: %q is not forwarded", c.method)
	}
}

func checkDocument(toml string) error {
	if n := len(toml); n == 0 || n > MaxDocumentBytes {
		return wasabistand.ErrInvalid.New("toml: %d bytes, allowed are 1 to %d", n, MaxDocumentBytes)
	}
	_, err := wasabiconfig.Parse([]byte(toml))
	if err != nil && !wasabistand.ErrInvalid.Has(err) {
		err = wasabistand.ErrInvalid.Wrap(err)
	}
	return err
}

func (i *Instance) drain(ctx context.Context, g *group, operator string, id *wasabistandv1.CommandIdentity, instance, comment string, drained bool) (wasabistate.AppliedResult, error) {
	a, err := i.decide(ctx, g, &wasabistandv1.StateCommand{Kind: &wasabistandv1.StateCommand_Drain{Drain: &wasabistandv1.DrainCommand{
		Command: id, Instance: instance, Drained: drained, Operator: operator, Comment: comment,
	}}})
	if err == nil {
		kind := "undrain"
		if drained {
			kind = "drain"
		}
		i.accepted(kind, operator, a)
	}
	return a, err
}

// decide commits a command and reads the result.
func (i *Instance) decide(ctx context.Context, g *group, c *wasabistandv1.StateCommand) (wasabistate.AppliedResult, error) {
	result, err := g.propose(ctx, c)
	if err != nil {
		return wasabistate.AppliedResult{}, err
	}
	switch r := result.(type) {
	case wasabistate.AppliedResult:
		return r, nil
	case wasabistate.ConflictResult:
		return wasabistate.AppliedResult{}, &conflictError{detail: r.Message()}
	case wasabistate.TooOldResult:
		return wasabistate.AppliedResult{}, Error.Wrap(errTooOld)
	case wasabistate.ReusedResult:
		return wasabistate.AppliedResult{}, wasabistand.ErrInvalid.New("command.id: %q was used for another command", r.ID)
	case wasabistate.RefusedResult:
		return wasabistate.AppliedResult{}, wasabistand.ErrInvalid.New("%s", r.Reason)
	case wasabistate.InvalidResult:
		return wasabistate.AppliedResult{}, wasabistand.ErrInvalid.Wrap(r.Err)
	default:
		return wasabistate.AppliedResult{}, Error.New("unexpected result %T", result)
	}
}

func (i *Instance) accepted(kind, operator string, a wasabistate.AppliedResult) {
	if a.Repeated {
		return
	}
	i.log.Info().Str("Kind", kind).Str("Operator", operator).Uint64("Revision", a.Revision).Msg("command accepted")
	i.parts.Events.Record(wasabistand.Event{Kind: wasabistand.EventConfigCommitted, Fields: []wasabistand.HeaderField{{Name: "Kind", Value: kind}, {Name: "Operator", Value: operator}}})
}

func (i *Instance) changeMembers(ctx context.Context, g *group, operator string, r *wasabistandv1.ChangeMembersRequest) (proto.Message, error) {
	var change wasabiraft.MemberChange
	switch k := r.GetChange().(type) {
	case *wasabistandv1.ChangeMembersRequest_Add:
		if err := checkMember(k.Add); err != nil {
			return nil, err
		}
		change.Add = &wasabistandv1.Member{Id: k.Add.GetId(), Address: k.Add.GetAddress()}
	case *wasabistandv1.ChangeMembersRequest_Remove:
		change.Remove = k.Remove
	default:
		return nil, wasabistand.ErrInvalid.New("change: not set, allowed are add and remove")
	}
	if err := g.runner.ChangeMembers(ctx, change); err != nil {
		return nil, err
	}
	i.log.Info().Str("Group", g.settings.Name).Str("Operator", operator).Str("Add", change.Add.GetId()).Str("Remove", change.Remove).Msg("members changed")
	return &wasabistandv1.ChangeMembersResponse{Group: g.status(time.Now())}, nil
}

// forward sends a command to another control instance. The answer goes to
// c.response.
func (i *Instance) forward(ctx context.Context, address string, c command) error {
	ctx, cancel := context.WithTimeout(ctx, forwardAttempt)
	defer cancel()
	request, err := proto.Marshal(c.request)
	if err != nil {
		return Error.Wrap(err)
	}
	link, err := i.pool.Get(ctx, address)
	if err != nil {
		return wasabistand.ErrNotLeader.Wrap(err)
	}
	s, err := link.Open(wasabistandv1.StreamOpen_KIND_FORWARD)
	if err != nil {
		return wasabistand.ErrNotLeader.Wrap(err)
	}
	defer s.Close()
	deadline, _ := ctx.Deadline()
	_ = s.SetDeadline(deadline)
	if err := s.Send(&wasabistandv1.ForwardRequest{Method: c.method, Request: request, Operator: c.operator, Group: c.group}); err != nil {
		return wasabistand.ErrUnknownOutcome.Wrap(err)
	}
	var answer wasabistandv1.ForwardResponse
	if err := s.Receive(&answer); err != nil {
		return wasabistand.ErrUnknownOutcome.Wrap(err)
	}
	if err := fromForward(&answer); err != nil {
		return err
	}
	if err := proto.Unmarshal(answer.GetResponse(), c.response); err != nil {
		return Error.Wrap(err)
	}
	return nil
}

// serveForward acts on one command that another control instance sent. It
// goes no further when this instance does not lead either.
func (i *Instance) serveForward(ctx context.Context, s *wasabilink.Stream) {
	_ = s.SetDeadline(time.Now().Add(forwardAttempt))
	var r wasabistandv1.ForwardRequest
	if s.Receive(&r) != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, forwardAttempt)
	defer cancel()
	answer, err := i.actForwarded(ctx, &r)
	out := &wasabistandv1.ForwardResponse{}
	if err != nil {
		out = toForward(err)
	} else if out.Response, err = proto.Marshal(answer); err != nil {
		out = toForward(Error.Wrap(err))
	}
	_ = s.SetDeadline(time.Now().Add(time.Second))
	_ = s.Send(out)
	// Closing before the peer has read would lose the answer.
	_ = s.Receive(new(wasabistandv1.ForwardRequest))
}

func (i *Instance) actForwarded(ctx context.Context, r *wasabistandv1.ForwardRequest) (proto.Message, error) {
	m := forwarded(r.GetMethod())
	if m == nil {
		return nil, wasabistand.ErrInvalid.New("method: %q is not forwarded", r.GetMethod())
	}
	if len(r.GetOperator()) > wasabiwire.MaxNameBytes {
		return nil, wasabistand.ErrInvalid.New("operator: %d bytes, allowed are %d", len(r.GetOperator()), wasabiwire.MaxNameBytes)
	}
	if err := proto.Unmarshal(r.GetRequest(), m); err != nil {
		return nil, wasabistand.ErrInvalid.New("request: %v", err)
	}
	g := i.groups[r.GetGroup()]
	if g == nil || !g.leads(i.settings.id) {
		return nil, wasabistand.ErrNotLeader.New("%s does not lead group %q", i.settings.id, r.GetGroup())
	}
	return i.act(ctx, command{method: r.GetMethod(), group: r.GetGroup(), operator: r.GetOperator(), request: m})
}
