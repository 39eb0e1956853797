package agent

import (
	"context"
	"net/url"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hornbeamcroft"
	"hornbeamcroft/exchanger"
	"hornbeamcroft/inquirer"
	"hornbeamcroft/observer"
	"hornbeamcroft/platform"
)

const (
	// probeInterval is the time between two health probes of an upstream that is not known yet. The upstream's
	// heartbeats, which carry more information, arrive about as often.
	probeInterval = time.Second
	// probePollInterval is the interval at which a starting node checks whether it has the configuration that names the
	// health path.
	probePollInterval = 20 * time.Millisecond
	// defaultProbedSlots is the number of slots assumed for an upstream that is known from a health probe only, until its
	// heartbeat.
	defaultProbedSlots = 8
)

// ownRecord returns the present member record of this node.
func (a *Agent) ownRecord() hornbeamcroft.Member {
	cfg := a.Settings.Agent
	a.upstreamMu.Lock()
	defer a.upstreamMu.Unlock()
	u := a.observer.Upstream()
	return hornbeamcroft.Member{
		Name: cfg.Name, Service: cfg.Service, Zone: cfg.Zone, Address: cfg.LinksAnnounced, Incarnation: a.incarnation,
		Sequence: a.recordSequence, State: u.State, Slots: u.Slots, Instance: u.Instance,
		Born: u.Born, Stopping: a.peers.closed.Load(),
	}
}

// onHeartbeat applies an announcement of the local upstream. A change is in force before onHeartbeat returns, and so before
// the announcement is acknowledged. A leaving is not acknowledged before it is also held outside of this process.
func (a *Agent) onHeartbeat(ctx context.Context, announcement observer.Announcement) error {
	a.applyAnnouncement(announcement)
	if announcement.Draining {
		return a.awaitLeaving(ctx, announcement.Instance, announcement.Born)
	}
	return nil
}

func (a *Agent) applyAnnouncement(announcement observer.Announcement) {
	a.upstreamMu.Lock()
	outcome := a.observer.ApplyAnnouncement(a.clock.Now(), announcement)
	if outcome == observer.OutcomeConfirmed {
		a.runner.SetUpstream(a.observer.Upstream())
	}
	a.upstreamMu.Unlock()
	if !announcement.Draining && outcome != observer.OutcomeStale && outcome != observer.OutcomeForeign {
		a.updateInquiry(func(i *inquirer.Inquirer, _ time.Duration) { i.Announced() })
	}
	switch outcome {
	case observer.OutcomeUnchanged:
		return
	case observer.OutcomeChanged, observer.OutcomeStarted:
		a.applyUpstream(outcome == observer.OutcomeStarted)
	}
	a.Log.Info().Str("instance", announcement.Instance).Int64("born", announcement.Born).Int64("sequence", announcement.Sequence).
		Bool("draining", announcement.Draining).Int("slots", announcement.Slots).Str("outcome", outcome.String()).Msg("observer: announcement")
}

// onDepart applies a notification that an instance of the local upstream leaves, and returns nil when that is held outside of
// this process. The time born is zero if the notification does not name the start of the instance.
func (a *Agent) onDepart(ctx context.Context, instance string, born int64) error {
	a.upstreamMu.Lock()
	outcome := a.observer.ApplyDeparture(instance, born)
	a.upstreamMu.Unlock()
	if outcome == observer.OutcomeChanged {
		a.applyUpstream(false)
	}
	a.Log.Info().Str("instance", instance).Int64("born", born).Str("outcome", outcome.String()).Msg("observer: departure")
	return a.awaitLeaving(ctx, instance, born)
}

// onInstanceReplaced marks the upstream as left if an instance other than the known one answered at its address.
func (a *Agent) onInstanceReplaced(instance, other string) {
	a.upstreamMu.Lock()
	changed := a.observer.Upstream().Instance == instance && a.observer.MarkReplaced(other)
	a.upstreamMu.Unlock()
	if changed {
		a.Log.Warn().Str("instance", instance).Str("other", other).Msg("observer: another instance answered")
		a.applyUpstream(false)
	}
}

// applyUpstream passes a changed state of the upstream to the runner, writes the record of this node and sends the node
// state to all peers. If the upstream has restarted, its old connections are closed.
func (a *Agent) applyUpstream(restarted bool) {
	a.upstreamMu.Lock()
	a.recordSequence++
	// The lock is held, so that an older state cannot follow a newer one.
	a.runner.SetUpstream(a.observer.Upstream())
	a.upstreamMu.Unlock()
	if restarted {
		a.exchanger.Reset()
	}
	a.writeRecord()
	go a.broadcastNodeState()
}

// writeRecord passes the record of this node to the enroller, which stores it, and updates the known members with it.
func (a *Agent) writeRecord() {
	m := a.ownRecord()
	value, err := cbor.Marshal(m)
	if err != nil {
		a.Log.Error().Err(err).Msg("members: encoding the record of this node failed")
		return
	}
	a.enroller.Set(value)
	a.updateOwnMember()
}

// updateOwnMember updates the known members with the record of this node.
func (a *Agent) updateOwnMember() {
	m := a.ownRecord()
	a.membersMu.Lock()
	a.locator.ApplyNotice(a.clock.Now(), m)
	a.membersMu.Unlock()
	a.members.Update()
}

// probeUntilKnown sends health probes to the local upstream until the upstream is known to this process. After a restart
// of the node alone, the upstream's next heartbeat may be more than a second away. An answer counts only for an instance that a record of
// an earlier process names, so that none is requested before there is such a record.
func (a *Agent) probeUntilKnown(ctx context.Context) {
	if a.Settings.Agent.Upstream == "" {
		return
	}
	for ctx.Err() == nil {
		a.upstreamMu.Lock()
		known, served := a.observer.Known(), a.observer.ServedAny()
		a.upstreamMu.Unlock()
		if known {
			return
		}
		r := a.routes.Load()
		var next <-chan time.Time
		switch {
		case r == nil:
			next = time.After(probePollInterval)
		case served && a.probeOnce(ctx, r.table.Services[a.Settings.Agent.Service].HealthPath):
			next = time.After(probeInterval)
		}
		select {
		case <-ctx.Done():
		case <-a.servedFound:
		case <-next:
		}
	}
}

// previousSlots returns the number of slots that the record of a previous process of this node gives for the instance, or
// defaultProbedSlots if there is no such record.
func (a *Agent) previousSlots(instance string) int {
	a.membersMu.Lock()
	defer a.membersMu.Unlock()
	if a.previousRecord.Instance == instance && a.previousRecord.Slots > 0 {
		return a.previousRecord.Slots
	}
	return defaultProbedSlots
}

// probeOnce requests the upstream's health path and applies the answer. It does nothing if the path is not known. It reports whether another
// probe may tell more: not if an instance has answered that no record names, as only its heartbeat proves its service.
func (a *Agent) probeOnce(ctx context.Context, path string) bool {
	if path == "" {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, platform.HealthTimeout)
	defer cancel()
	target, err := url.Parse("http://" + a.Settings.Agent.Upstream + path)
	if err != nil {
		a.Log.Warn().Str("path", path).Err(err).Msg("observer: health probe not sent")
		return true
	}
	upstream := exchanger.Exchanger{Address: a.Settings.Agent.Upstream}
	resp, err := upstream.Probe(ctx, target.RequestURI())
	if err != nil {
		a.Log.Debug().Err(err).Msg("observer: no health answer")
		return true
	}
	instance, healthy := platform.HealthAnswer(resp)
	slots := a.previousSlots(instance)
	a.upstreamMu.Lock()
	changed, served := a.observer.ApplyHealthProbe(instance, healthy, slots), a.observer.Served(instance)
	a.upstreamMu.Unlock()
	a.Log.Info().Str("instance", instance).Bool("healthy", healthy).Bool("served-before", served).Bool("changed", changed).
		Msg("observer: health answer")
	if !served {
		a.metrics.count("upstream/unproven-health-answers")
	}
	if changed {
		a.applyUpstream(true)
	}
	return served || instance == ""
}
