package agent

import (
	"context"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hornbeamcroft"
	"hornbeamcroft/framer"
	"hornbeamcroft/observer"
	"hornbeamcroft/platform"
	"hornbeamcroft/suspecter"
)

const (
	// probeWait is the time between questions for the health of an upstream that is not known yet. Its heartbeat, which
	// says more, comes about as often.
	probeWait = time.Second
	// probeTick is how often a starting node looks whether it knows enough to ask.
	probeTick = 20 * time.Millisecond
	// probedSlots are assumed for an upstream that is known from its health answer only, until its heartbeat.
	probedSlots = 8
)

// self returns the record of this node.
func (a *Agent) self() hornbeamcroft.Member {
	cfg := a.Settings.Agent
	a.upstreamMu.Lock()
	defer a.upstreamMu.Unlock()
	u := a.observer.Upstream()
	return hornbeamcroft.Member{
		Name: cfg.Name, Service: cfg.Service, Zone: cfg.Zone, Address: cfg.LinksAnnounced, Incarnation: a.incarnation,
		Sequence: a.sequence, State: u.State, Slots: u.Slots, Instance: u.Instance,
		Stopping: a.closed.Load(),
	}
}

// onHeartbeat takes an announcement of the own upstream. Its change is in force when the announcement is acknowledged.
func (a *Agent) onHeartbeat(n observer.Announcement) {
	a.upstreamMu.Lock()
	outcome := a.observer.Announce(a.clock.Now(), n)
	a.upstreamMu.Unlock()
	switch outcome {
	case observer.OutcomeUnchanged:
		return
	case observer.OutcomeChanged, observer.OutcomeStarted:
		a.applyUpstream(outcome == observer.OutcomeStarted)
	}
	a.Log.Info().Str("instance", n.Instance).Int64("born", n.Born).Int64("sequence", n.Sequence).
		Bool("draining", n.Draining).Int("slots", n.Slots).Str("outcome", outcome.String()).Msg("observer: announcement")
}

// onDepart takes the news that the own upstream leaves.
func (a *Agent) onDepart(instance string, born int64) {
	a.upstreamMu.Lock()
	outcome := a.observer.Depart(instance, born)
	a.upstreamMu.Unlock()
	if outcome == observer.OutcomeChanged {
		a.applyUpstream(false)
	}
	a.Log.Info().Str("instance", instance).Int64("born", born).Str("outcome", outcome.String()).Msg("observer: departure")
}

// onGone takes the news that another instance answered in place of the expected one.
func (a *Agent) onGone(instance, other string) {
	a.upstreamMu.Lock()
	changed := a.observer.Upstream().Instance == instance && a.observer.Replace(other)
	a.upstreamMu.Unlock()
	if changed {
		a.Log.Warn().Str("instance", instance).Str("other", other).Msg("observer: another instance answered")
		a.applyUpstream(false)
	}
}

// applyUpstream puts a changed state of the upstream in force here, and tells others.
func (a *Agent) applyUpstream(restarted bool) {
	a.upstreamMu.Lock()
	a.sequence++
	u := a.observer.Upstream()
	a.upstreamMu.Unlock()
	a.runner.SetUpstream(u)
	if restarted {
		a.exchanger.Reset()
	}
	a.writeRecord()
	go a.announce()
}

// writeRecord passes the record of this node to the store.
func (a *Agent) writeRecord() {
	m := a.self()
	value, err := cbor.Marshal(m)
	if err != nil {
		a.Log.Error().Err(err).Msg("members: record not encoded")
		return
	}
	a.enroller.Set(value)
	a.writeMember()
}

// writeMember makes the own record one of the known members.
func (a *Agent) writeMember() {
	m := a.self()
	a.membersMu.Lock()
	a.locator.Hear(a.clock.Now(), m)
	a.membersMu.Unlock()
	a.publishMembers()
}

// probe asks an upstream that has not announced itself to this process for its health. After a restart of the node
// alone, its next heartbeat may be more than a second away.
func (a *Agent) probe(ctx context.Context) {
	if a.Settings.Agent.Upstream == "" {
		return
	}
	for ctx.Err() == nil {
		a.upstreamMu.Lock()
		known := a.observer.Upstream().Instance != ""
		a.upstreamMu.Unlock()
		if known {
			return
		}
		wait := probeTick
		if r := a.routes.Load(); r != nil {
			a.probeOnce(ctx, r.table.Services[a.Settings.Agent.Service].HealthPath)
			wait = probeWait
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// earlierSlots returns the slots that an earlier process of this node knew of the instance, or a few.
func (a *Agent) earlierSlots(instance string) int {
	a.membersMu.Lock()
	defer a.membersMu.Unlock()
	if a.earlier.Instance == instance && a.earlier.Slots > 0 {
		return a.earlier.Slots
	}
	return probedSlots
}

func (a *Agent) probeOnce(ctx context.Context, path string) {
	ctx, cancel := context.WithTimeout(ctx, platform.HealthTime)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.Settings.Agent.Upstream+path, nil)
	if err != nil {
		a.Log.Warn().Str("path", path).Err(err).Msg("observer: upstream not asked for its health")
		return
	}
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(r)
	if err != nil {
		a.Log.Debug().Err(err).Msg("observer: no health answer")
		return
	}
	_ = resp.Body.Close()
	instance, healthy := platform.HealthAnswer(resp)
	slots := a.earlierSlots(instance)
	a.upstreamMu.Lock()
	changed := a.observer.Probe(instance, healthy, slots)
	a.upstreamMu.Unlock()
	a.Log.Info().Str("instance", instance).Bool("healthy", healthy).Bool("changed", changed).
		Msg("observer: health answer")
	if changed {
		a.applyUpstream(true)
	}
}

// refuses reports whether a request is refused because it crashes upstreams.
func (a *Agent) refuses(fingerprint uint64) bool {
	a.suspectsMu.Lock()
	defer a.suspectsMu.Unlock()
	return a.suspects.Refuses(a.clock.Now(), fingerprint)
}

// onCrash reports the requests that ran in the upstream when it crashed, here and to all peers.
func (a *Agent) onCrash(running []uint64) {
	r := suspecter.Report{Crash: a.incarnation<<16 + a.crashes.Add(1), Fingerprints: running}
	a.takeCrash(r)
	a.Log.Warn().Int("running", len(running)).Uint64("crash", r.Crash).Msg("runner: upstream crashed")
	a.tellSuspects(r)
}

func (a *Agent) takeCrash(r suspecter.Report) {
	a.suspectsMu.Lock()
	defer a.suspectsMu.Unlock()
	a.suspects.Crash(a.clock.Now(), r)
}

func (a *Agent) onCleared(fingerprint uint64) {
	a.suspectsMu.Lock()
	tell := a.suspects.Clear(fingerprint)
	a.suspectsMu.Unlock()
	if tell {
		go a.tellSuspects(suspecter.Report{Cleared: []uint64{fingerprint}})
	}
}

// tellSuspects sends a report to all peers.
func (a *Agent) tellSuspects(r suspecter.Report) {
	for _, l := range a.links.Open() {
		a.send(l, framer.TypeCrash, r)
	}
}
