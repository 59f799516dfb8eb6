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
	// MaxDocumentBytes is the maximum size of a configuration document.
	MaxDocumentBytes = 1 << 20
	// maxRequestBytes adds room for the other fields of a request.
	maxRequestBytes       = MaxDocumentBytes + 64<<10
	maxHistoryEntries     = 1000
	defaultHistoryEntries = 50
	// leaderRetryInterval is the pause between attempts to find a leader during
	// an election.
	leaderRetryInterval = 20 * time.Millisecond
	// forwardTimeout bounds one attempt at the leader, so that time remains to
	// retry within the timeout of the command when the leader is lost.
	forwardTimeout = 2 * time.Second
)

// applyMethod is the procedure that replaces the configuration.
const applyMethod = wasabistandv1connect.OperatorServiceApplyProcedure

// command is an operator's request that the leader of a group executes. A
// request with a command identity takes effect once, so that it can be retried.
type command struct {
	method   string
	group    string
	operator string
	request  proto.Message
	response proto.Message
}

// execute executes a command locally or forwards it to the group's leader. It
// retries during elections until the operator timeout ends.
func (i *Instance) execute(ctx context.Context, c command) (proto.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, i.settings.operatorTimeout)
	defer cancel()
	outcomeUnknown, started := false, time.Now()
	for {
		err := wasabistand.ErrNotLeader.New("group %q has no leader that is known here", c.group)
		if g := i.groups[c.group]; g == nil {
			return nil, wasabistand.ErrInvalid.New("group: %q, allowed are the groups of this control instance", c.group)
		} else if id, address := g.runner.Leader(); id == i.settings.id {
			var m proto.Message
			if m, err = i.executeAtLeader(ctx, c); err == nil {
				i.logConfirmed(c, m, id, started)
				return m, nil
			}
		} else if id != "" && address != "" {
			if err = i.forward(ctx, address, c); err == nil {
				i.logConfirmed(c, c.response, id, started)
				return c.response, nil
			}
		}
		outcomeUnknown = outcomeUnknown || wasabistand.ErrUnknownOutcome.Has(err)
		if !wasabistand.ErrNotLeader.Has(err) && !wasabistand.ErrUnknownOutcome.Has(err) {
			return nil, err
		}
		t := time.NewTimer(leaderRetryInterval)
		select {
		case <-ctx.Done():
			t.Stop()
			if outcomeUnknown && !wasabistand.ErrUnknownOutcome.Has(err) {
				err = wasabistand.ErrUnknownOutcome.Wrap(err)
			}
			return nil, err
		case <-t.C:
		}
	}
}

// executeAtLeader executes a command on the instance that leads the group.
func (i *Instance) executeAtLeader(ctx context.Context, c command) (proto.Message, error) {
	g := i.groups[c.group]
	switch r := c.request.(type) {
	case *wasabistandv1.ApplyRequest:
		if err := checkDocument(r.GetToml()); err != nil {
			return nil, err
		}
		if err := i.checkDurable(g); err != nil {
			return nil, err
		}
		a, err := i.proposeCommand(ctx, g, &wasabistandv1.StateCommand{Kind: &wasabistandv1.StateCommand_Apply{Apply: &wasabistandv1.ApplyCommand{
			Command: r.GetCommand(), ExpectedRevision: r.GetExpectedRevision(), Toml: r.GetToml(), Operator: c.operator, Comment: r.GetComment(),
			Revision: r.GetRevision(),
		}}})
		if err != nil {
			return nil, err
		}
		i.recordCommitted("apply", c.operator, a)
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
	a, err := i.proposeCommand(ctx, g, &wasabistandv1.StateCommand{Kind: &wasabistandv1.StateCommand_Drain{Drain: &wasabistandv1.DrainCommand{
		Command: id, Instance: instance, Drained: drained, Operator: operator, Comment: comment,
	}}})
	if err == nil {
		kind := "undrain"
		if drained {
			kind = "drain"
		}
		i.recordCommitted(kind, operator, a)
	}
	return a, err
}

// proposeCommand commits a command and converts the result of the state machine.
func (i *Instance) proposeCommand(ctx context.Context, g *group, c *wasabistandv1.StateCommand) (wasabistate.AppliedResult, error) {
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

// recordCommitted logs a committed command and records an event, unless the
// command was a retry of an earlier one.
func (i *Instance) recordCommitted(kind, operator string, a wasabistate.AppliedResult) {
	if a.Repeated {
		return
	}
	i.log.Info().Str("Kind", kind).Str("Operator", operator).Uint64("Revision", a.Revision).Msg("command committed")
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

// forward sends a command to another control instance and stores its response
// in c.response.
func (i *Instance) forward(ctx context.Context, address string, c command) error {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
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
	var response wasabistandv1.ForwardResponse
	if err := s.Receive(&response); err != nil {
		return wasabistand.ErrUnknownOutcome.Wrap(err)
	}
	if err := fromForwardResponse(&response); err != nil {
		return err
	}
	if err := proto.Unmarshal(response.GetResponse(), c.response); err != nil {
		return Error.Wrap(err)
	}
	return nil
}

// serveForward executes one command that another control instance forwarded. It
// does not forward the command again if this instance is not the leader.
func (i *Instance) serveForward(ctx context.Context, s *wasabilink.Stream) {
	_ = s.SetDeadline(time.Now().Add(forwardTimeout))
	var r wasabistandv1.ForwardRequest
	if s.Receive(&r) != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	response, err := i.executeForwarded(ctx, &r)
	out := &wasabistandv1.ForwardResponse{}
	if err != nil {
		out = toForwardResponse(err)
	} else if out.Response, err = proto.Marshal(response); err != nil {
		out = toForwardResponse(Error.Wrap(err))
	}
	_ = s.SetDeadline(time.Now().Add(time.Second))
	_ = s.Send(out)
	// Closing the stream before the peer has read would lose the response.
	_ = s.Receive(new(wasabistandv1.ForwardRequest))
}

func (i *Instance) executeForwarded(ctx context.Context, r *wasabistandv1.ForwardRequest) (proto.Message, error) {
	m := newForwardedRequest(r.GetMethod())
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
	if g == nil || !g.isLeader(i.settings.id) {
		return nil, wasabistand.ErrNotLeader.New("%s does not lead group %q", i.settings.id, r.GetGroup())
	}
	return i.executeAtLeader(ctx, command{method: r.GetMethod(), group: r.GetGroup(), operator: r.GetOperator(), request: m})
}
