package server

import (
	"context"
	"slices"

	"hornbeamcroft"
	"hornbeamcroft/arbiter"
	"hornbeamcroft/deduper"
	"hornbeamcroft/drainer"
	"hornbeamcroft/executor"
	"hornbeamcroft/forwarder"
	"hornbeamcroft/framer"
	"hornbeamcroft/owner"
	"hornbeamcroft/recaller"
)

// buildArbiter makes the arbiter for the node's service.
func (s *Server) buildArbiter() {
	n := s.Settings.Node
	s.arbiter = &arbiter.Arbiter{
		Clock:   s.clock,
		Owner:   &owner.Owner{Self: n.Name, Service: n.Service, Incarnation: s.incarnation},
		Deduper: &deduper.Deduper{},
		Recaller: &recaller.Recaller{
			Clock: s.clock, Calls: &deduper.Calls{Incarnation: s.incarnation},
		},
		Send:  s.members.sendTo,
		Read:  s.epochs.Read,
		Store: s.Store,
		OnAdopted: func(e owner.Epoch) {
			s.Log.Info().Uint64("epoch", e.Number).Strs("roster", e.Roster).Msg("owner: epoch adopted")
		},
	}
}

// home returns the probable home of the call's key, chosen from the live members of its service. It can differ from the
// home by the roster epoch, which decides: a node that gets a call and is not the home of its key replies with the
// home.
func (s *Server) home(call hornbeamcroft.Call) forwarder.Target {
	var names []string
	for _, m := range s.members.routableMembers(call.Service) {
		names = append(names, m.Name)
	}
	if len(names) == 0 {
		return forwarder.Target{Code: hornbeamcroft.CodeNoUpstream}
	}
	slices.Sort(names)
	return s.target(owner.HomeOf(names, call.Key))
}

// target returns the member with the given name as a target.
func (s *Server) target(name string) forwarder.Target {
	view, ok := s.members.lookup(name)
	if !ok {
		return forwarder.Target{Name: name, Code: hornbeamcroft.CodeHomeUnreachable}
	}
	return forwarder.Target{Name: name, Address: view.Address}
}

// executeNonIdempotent runs a non-idempotent call at the local upstream, at most once and only if this node is the home
// of its key.
func (s *Server) executeNonIdempotent(ctx context.Context, call hornbeamcroft.Call) hornbeamcroft.Answer {
	return s.arbiter.Execute(ctx, call, func(mayStart func() (int64, hornbeamcroft.Code)) hornbeamcroft.Answer {
		if !s.drain.beginHome() {
			return hornbeamcroft.Answer{Code: hornbeamcroft.CodeDraining, UnspentRetries: call.RetryBudget}
		}
		defer s.drain.end(drainer.KindLink)
		return s.quarantine.execute(ctx, call, func(isolated bool) hornbeamcroft.Answer {
			return s.executor.Execute(ctx, call, executor.Options{MayStart: mayStart, Detached: true, Isolated: isolated})
		})
	})
}

// executeRemoteNonIdempotent runs a non-idempotent call of another node. It keeps the outcome, so that the sender can
// query it if the link is lost before the answer arrives.
func (s *Server) executeRemoteNonIdempotent(ctx context.Context, peer framer.Hello, call hornbeamcroft.Call) hornbeamcroft.Answer {
	id := deduper.CallID{Sender: peer.Name, Incarnation: peer.Incarnation, ID: call.ID}
	if a, isNew := s.arbiter.Recaller.Begin(ctx, id, call.Remaining); !isNew {
		return a
	}
	a := s.execute(ctx, call)
	s.arbiter.Recaller.End(id, a)
	return a
}

// updateServiceMembers passes the live members of this node's service to the arbiter and the quarantiner. The first
// member by name proposes roster changes.
func (s *Server) updateServiceMembers(members []hornbeamcroft.Member) {
	if s.arbiter == nil {
		return
	}
	var names []string
	for _, m := range members {
		names = append(names, m.Name)
	}
	slices.Sort(names)
	proposes := len(names) > 0 && names[0] == s.Settings.Node.Name
	s.arbiter.SetTarget(names, nil, proposes)
	s.quarantine.setMembers(names)
}
