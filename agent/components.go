package agent

import (
	"time"

	"hornbeamcroft/breaker"
	"hornbeamcroft/connector"
	"hornbeamcroft/courier"
	"hornbeamcroft/deduper"
	"hornbeamcroft/enroller"
	"hornbeamcroft/exchanger"
	"hornbeamcroft/framer"
	"hornbeamcroft/loader"
	"hornbeamcroft/observer"
	"hornbeamcroft/platform"
	"hornbeamcroft/randomizer"
	"hornbeamcroft/rationer"
	"hornbeamcroft/recaller"
	"hornbeamcroft/recorder"
	"hornbeamcroft/reserver"
	"hornbeamcroft/runner"
	"hornbeamcroft/sender"
)

// autoEvenNodes is the number of known nodes from which on PlacementAuto places evenly. With few senders, few choose the same host at the
// same moment.
const autoEvenNodes = 32

// evenFrom returns the number of known nodes from which on calls are placed evenly; zero if they never are.
func evenFrom(placement string) int {
	switch placement {
	case loader.PlacementEven:
		return 1
	case loader.PlacementAuto:
		return autoEvenNodes
	}
	return 0
}

// createComponents creates the components of the node and connects them. It starts none of them.
func (a *Agent) createComponents() {
	cfg := a.Settings.Agent
	a.started = time.Now()
	a.clock = monotonic{start: a.started}
	a.incarnation = uint64(a.started.UnixMicro())
	a.metrics = newMetricSet()
	a.shares = newConnectionShares(descriptorLimit(), cfg.MemoryMB)
	a.callers, a.peers = newStopGate(a.stopLimit()), newStopGate(a.stopLimit())
	a.recorder = &recorder.Recorder{Log: a.Log.Logger}
	a.bodies = &reserver.Reserver{Limit: int64(cfg.MemoryMB) << 20 / bodyMemoryDivisor}
	a.observer = observer.Observer{Service: cfg.Service, Address: cfg.Upstream}
	a.servedFound = make(chan struct{}, 1)
	a.store = &platform.Store{Address: a.Settings.Store.Address, WatchHold: a.routesWatchHold, OnEra: a.onStoreEra}
	a.store.Open()
	a.storeBreaker = &breaker.Breaker{Store: a.store, Clock: a.clock}
	a.createProof()
	a.exchanger = &exchanger.Exchanger{Address: cfg.Upstream, HeaderNames: platform.HeaderNames(), MaxBody: maxAnswerBody}
	a.recaller = &recaller.Recaller{
		Clock: a.clock, Calls: &deduper.Calls{
			Incarnation: a.incarnation, Retention: outcomeRetention, MaxBytes: int(a.bodies.Limit), Memory: a.bodies.OpenRetained(),
		},
	}
	a.bodies.Evict = a.recaller.Evict
	a.links = &connector.Connector{
		Self: a.hello, Key: []byte(cfg.ClusterKey), MaxBody: func() int { return maxAnswerBody }, Memory: a.bodies,
		OnCall: a.onCall, OnOutcome: a.recaller.Outcome, OnMessage: a.onMessage, OnUp: a.onUp, OnDown: a.onDown,
		SilenceTimeout: linkSilenceTimeout, MaxInbound: a.shares.links, Log: a.Log.Logger,
	}
	a.runner = &runner.Runner{
		Clock: a.clock, Service: cfg.Service, Exchanger: a.exchanger, Request: a.upstreamRequest,
		Rationer: a.newRationer(rationer.UpstreamShare), Refuses: a.refuses, OnCrash: a.onCrash, OnCleared: a.onCleared,
		OnInstanceReplaced: a.onInstanceReplaced, OnStatement: a.onStatement, OnReport: a.onReport, OnEnd: a.recordRun,
		TenantWeight: a.tenantWeight,
	}
	send := &sender.Sender{Name: cfg.Name, Incarnation: a.incarnation, Links: a.links}
	a.courier = &courier.Courier{
		Clock: a.clock, Rand: randomizer.Randomizer{}, Name: cfg.Name, Zone: cfg.Zone,
		EvenFrom: evenFrom(cfg.Placement),
		Local:    a.runner.Run, Remote: send.Send, Linked: func(name string) bool { return a.links.LinkTo(name) != nil },
		Dial: a.dial, OnEnd: a.recordRequest,
		Rationer: a.newRationer(rationer.SenderShare),
	}
	a.runner.Levels = a.courier.Levels
	a.quotas = a.newQuotas()
	a.members = a.newMembersPublisher()
	a.enroller = &enroller.Enroller{
		Store: a.storeBreaker, Key: keyPrefix + cfg.Name, OnStoreLost: a.onStoreLost("record"), OnStoreRecovered: a.onStoreRecovered("record"),
		OnWritten: func(revision int64) {
			a.Log.Info().Int64("revision", revision).Msg("enroller: record written")
			a.setQuotaListed(true, revision)
		},
		Clock: a.proof.clock, Interval: a.renewInterval, OnHeld: a.onRecordRenewed,
		OnFound: a.onRecordFound, Keep: a.keepsRecord,
	}
	a.leavings = a.newLeavingKeeper()
}

func (a *Agent) newRationer(share float64) *rationer.Rationer {
	return &rationer.Rationer{
		Ratio: a.Bounds.RetryRatio, Allowance: a.Bounds.RetrySlack, Window: a.Bounds.RetryWindow, Share: share, Nodes: 1,
	}
}

func (a *Agent) hello() framer.Hello {
	cfg := a.Settings.Agent
	return framer.Hello{
		Name: cfg.Name, Incarnation: a.incarnation, Zone: cfg.Zone, Service: cfg.Service, Address: cfg.LinksAnnounced,
		Credit: connector.DefaultCredit,
	}
}
