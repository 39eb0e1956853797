package server

import (
	"context"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/connector"
	"hornbeamcroft/drainer"
	"hornbeamcroft/executor"
	"hornbeamcroft/framer"
)

// onCall runs a call that another node sent, if it is for the service of the local upstream.
func (s *Server) onCall(ctx context.Context, peer framer.Hello, call hornbeamcroft.Call) hornbeamcroft.Answer {
	switch {
	case call.Service != s.Settings.Node.Service || s.executor == nil:
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodeUnknownService, UnspentRetries: call.RetryBudget}
	case call.Idempotent:
		return s.execute(ctx, call)
	}
	return s.executeRemoteNonIdempotent(ctx, peer, call)
}

// execute runs a call at the local upstream and adds the upstream's admission level to an answer without one.
func (s *Server) execute(ctx context.Context, call hornbeamcroft.Call) hornbeamcroft.Answer {
	var a hornbeamcroft.Answer
	if call.Idempotent {
		if !s.drain.begin(drainer.KindLink) {
			return hornbeamcroft.Answer{Code: hornbeamcroft.CodeDraining, UnspentRetries: call.RetryBudget}
		}
		defer s.drain.end(drainer.KindLink)
		a = s.quarantine.execute(ctx, call, func(isolated bool) hornbeamcroft.Answer {
			return s.executor.Execute(ctx, call, executor.Options{Isolated: isolated})
		})
	} else {
		a = s.executeNonIdempotent(ctx, call)
	}
	if len(a.AdmissionLevels) == 0 {
		a.AdmissionLevels = []hornbeamcroft.AdmissionLevel{s.executor.AdmissionLevel()}
	}
	return a
}

// onOutcome returns the outcome of a non-idempotent call whose sender lost the link before the answer arrived.
func (s *Server) onOutcome(ctx context.Context, q framer.OutcomeQuery) hornbeamcroft.Answer {
	if s.arbiter == nil {
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodeOutcomeUnknown}
	}
	return s.arbiter.Recaller.Outcome(ctx, q)
}

// onMessage passes a control frame to the component that handles it.
func (s *Server) onMessage(l *connector.Link, t framer.Type, payload []byte) error {
	switch t {
	case framer.TypeEpochQuery, framer.TypeEpochReply:
		return s.epochs.receive(l, t, payload)
	case framer.TypeEpochOffer, framer.TypeEpochAck, framer.TypePermitQuery, framer.TypePermitReply,
		framer.TypeHandover:
		if s.arbiter == nil {
			return nil
		}
		return s.arbiter.Receive(l.Peer.Name, t, payload)
	case framer.TypeSLOCounts:
		return s.slo.receive(l, payload)
	case framer.TypeDocumentDigest, framer.TypeDocumentDelta, framer.TypeDocumentWhole:
		return s.documents.receive(l, t, payload)
	case framer.TypeCrashSuspects, framer.TypeCleared, framer.TypeIsolatedRun:
		if s.quarantine == nil {
			return nil
		}
		return s.quarantine.receive(l, t, payload)
	}
	return s.members.receive(l, t, payload)
}

// onAnswer records a finished request of an external caller in the metrics and the SLO counts.
func (s *Server) onAnswer(call hornbeamcroft.Call, a hornbeamcroft.Answer, latency time.Duration) {
	s.metrics.recordAnswer(call, a, latency)
	s.slo.record(call, a, latency)
}

// onCrash reports the calls that ran in the crashed upstream as suspects and announces that the node takes no work.
func (s *Server) onCrash(running []hornbeamcroft.Call) {
	s.Log.Warn().Int("running", len(running)).Msg("server: upstream crashed")
	s.quarantine.crash(running)
	s.members.announce(hornbeamcroft.MemberStarting)
}
