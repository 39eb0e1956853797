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

// home guesses the home of the call's key from the live members. The members' epoch decides; a node that is not the
// home names the one that is.
func (s *Server) home(call hornbeamcroft.Call) forwarder.Target {
	var names []string
	for _, m := range s.members.service(call.Service) {
		names = append(names, m.Name)
	}
	if len(names) == 0 {
		return forwarder.Target{Code: hornbeamcroft.CodeNoUpstream}
	}
	slices.Sort(names)
	return s.target(owner.HomeOf(names, call.Key))
}

// target returns the address of a member.
func (s *Server) target(name string) forwarder.Target {
	v, ok := s.members.lookup(name)
	if !ok {
		return forwarder.Target{Name: name, Code: hornbeamcroft.CodeHomeUnreachable}
	}
	return forwarder.Target{Name: name, Address: v.Address}
}

// executeOnce runs a non-idempotent call at the own upstream if this node is the home of its key.
func (s *Server) executeOnce(ctx context.Context, call hornbeamcroft.Call) hornbeamcroft.Answer {
	return s.arbiter.Execute(ctx, call, func(mayStart func() (int64, hornbeamcroft.Code)) hornbeamcroft.Answer {
		if !s.drain.admit() {
			return hornbeamcroft.Answer{Code: hornbeamcroft.CodeDraining, UnspentRetries: call.RetryBudget}
		}
		defer s.drain.end(drainer.KindLink)
		return s.quarantine.execute(ctx, call, func(isolated bool) hornbeamcroft.Answer {
			return s.executor.Execute(ctx, call, executor.Options{MayStart: mayStart, Detached: true, Isolated: isolated})
		})
	})
}

// onRemoteOnce runs a non-idempotent call of another node and keeps its outcome for queries after a lost link.
func (s *Server) onRemoteOnce(ctx context.Context, peer framer.Hello, call hornbeamcroft.Call) hornbeamcroft.Answer {
	id := deduper.CallID{Sender: peer.Name, Incarnation: peer.Incarnation, ID: call.ID}
	if a, isNew := s.arbiter.Recaller.Begin(ctx, id, call.Remaining); !isNew {
		return a
	}
	a := s.execute(ctx, call)
	s.arbiter.Recaller.End(id, a)
	return a
}

// updateTarget passes the live members of the own service to the arbiter. The first by name drives changes.
func (s *Server) updateTarget(members []hornbeamcroft.Member) {
	if s.arbiter == nil {
		return
	}
	var names []string
	for _, m := range members {
		names = append(names, m.Name)
	}
	slices.Sort(names)
	drive := len(names) > 0 && names[0] == s.Settings.Node.Name
	s.arbiter.SetTarget(names, nil, drive)
	s.quarantine.setMembers(names)
}
