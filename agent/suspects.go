package agent

import (
	"hornbeamcroft/connector"
	"hornbeamcroft/framer"
	"hornbeamcroft/suspecter"
)

// refuses reports whether requests with the fingerprint are refused because they have crashed upstreams.
func (a *Agent) refuses(fingerprint uint64) bool {
	a.suspectsMu.Lock()
	defer a.suspectsMu.Unlock()
	return a.suspects.Refuses(a.clock.Now(), fingerprint)
}

// onCrash records the requests that were running in the local upstream when it crashed as suspects, and reports them to all
// peers.
func (a *Agent) onCrash(running []uint64) {
	r := suspecter.Report{Crash: a.incarnation<<16 + a.crashes.Add(1), Fingerprints: running}
	a.applyCrashReport(r)
	a.Log.Warn().Int("running", len(running)).Uint64("crash", r.Crash).Msg("runner: upstream crashed")
	a.broadcastCrashReport(r)
}

// applyCrashReport applies a crash report of this node or of a peer.
func (a *Agent) applyCrashReport(r suspecter.Report) {
	a.suspectsMu.Lock()
	defer a.suspectsMu.Unlock()
	a.suspects.RecordCrash(a.clock.Now(), r)
}

// onCleared clears a suspect that ran to its end without a crash, and reports it to all peers if they may be about to refuse
// the request. The report names the crashes, so that a peer that hears of them only later does not count them.
func (a *Agent) onCleared(fingerprint uint64) {
	a.suspectsMu.Lock()
	report := a.suspects.RecordCompletion(fingerprint)
	m, known := a.suspects.ExportOne(a.clock.Now(), fingerprint)
	a.suspectsMu.Unlock()
	if !report {
		return
	}
	go func() {
		a.broadcastCrashReport(suspecter.Report{Cleared: []uint64{fingerprint}})
		for _, l := range a.links.Links() {
			if known && l.Peer.Knows(framer.TypeSuspects) {
				a.send(l, framer.TypeSuspects, m)
			}
		}
	}()
}

// broadcastCrashReport sends a crash report to all peers.
func (a *Agent) broadcastCrashReport(r suspecter.Report) {
	for _, l := range a.links.Links() {
		a.send(l, framer.TypeCrash, r)
	}
}

// sendSuspects sends the suspects of this node to the peer of a link that was opened. The peer may have started since it was told.
func (a *Agent) sendSuspects(l *connector.Link) {
	if !l.Peer.Knows(framer.TypeSuspects) {
		return
	}
	a.suspectsMu.Lock()
	messages := a.suspects.Export(a.clock.Now())
	a.suspectsMu.Unlock()
	for _, m := range messages {
		a.send(l, framer.TypeSuspects, m)
	}
}

// onSuspects merges the suspects of a peer.
func (a *Agent) onSuspects(l *connector.Link, m suspecter.Message) {
	a.suspectsMu.Lock()
	a.suspects.Import(a.clock.Now(), m)
	a.suspectsMu.Unlock()
	a.Log.Info().Str("peer", l.Peer.Name).Int("requests", len(m.Suspects)).Msg("runner: suspects received")
}
