package agent

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"hornbeamcroft"
	"hornbeamcroft/attester"
	"hornbeamcroft/connector"
	"hornbeamcroft/framer"
	"hornbeamcroft/platform"
	"hornbeamcroft/randomizer"
	"hornbeamcroft/timekeeper"
	"hornbeamcroft/verifier"
)

const (
	// proofTick is the time between two checks of whether the store or peers are to be asked for a proof.
	proofTick = 50 * time.Millisecond
	// maxProofAge is the age of the proof above which it is logged as too old.
	maxProofAge = 2 * time.Second
)

// configurationProof is the proof of how recently the configuration in force was the newest.
type configurationProof struct {
	// clock also counts the time for which the machine was suspended.
	clock    hornbeamcroft.Clock
	verifier *verifier.Verifier

	mu       sync.Mutex
	attester attester.Attester
	// role is the role that was logged last, and old whether the proof was logged as too old. Only followProof uses them.
	role int
	old  bool
}

// createProof creates the components that prove the configuration.
func (a *Agent) createProof() {
	p := &a.proof
	p.clock = timekeeper.New()
	p.attester.Name, p.attester.Zone, p.attester.Rand = a.Settings.Agent.Name, a.Settings.Agent.Zone, randomizer.Randomizer{}
	p.verifier = &verifier.Verifier{
		Store: a.storeBreaker, Key: platform.KeyConfiguration, Clock: p.clock, Hash: configurationSum,
		OnValue: func(value []byte) {
			if r := a.routes.Load(); r == nil || r.sum != configurationSum(value) {
				a.acceptRoutes(value, "store")
			}
		},
	}
}

// configurationSum returns the hash of a configuration in the form in which nodes keep it and pass it on, without API keys. It is the
// same for the form in which the store holds it.
func configurationSum(value []byte) uint64 {
	hashed, err := platform.HashKeys(value)
	if err != nil {
		return verifier.Sum(value) // the configuration is not accepted, so that no node has its hash
	}
	return verifier.Sum(hashed)
}

// configurationAge returns the age of the best proof for the configuration in force, or false if there is none. At that age, the
// configuration was the newest in the store.
func (a *Agent) configurationAge() (age time.Duration, proven bool) {
	r := a.routes.Load()
	if r == nil {
		return 0, false
	}
	a.proof.mu.Lock()
	defer a.proof.mu.Unlock()
	return a.proof.attester.Age(a.proof.clock.Now(), r.table.Version)
}

// applied records that a configuration comes into force.
func (p *configurationProof) applied(t hornbeamcroft.RouteTable, sum uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.attester.Applied(p.clock.Now(), t.Version, sum, t.HasTenants)
}

// setMembers passes the known members on; two of each zone ask the store all the time.
func (p *configurationProof) setMembers(members []hornbeamcroft.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.attester.SetMembers(members)
}

// followProof asks the store and peers for proofs until ctx ends.
func (a *Agent) followProof(ctx context.Context) {
	t := time.NewTicker(proofTick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		a.tickProof(ctx)
	}
}

// tickProof makes the calls and queries that are due, and opens links if there are too few.
func (a *Agent) tickProof(ctx context.Context) {
	p := &a.proof
	p.mu.Lock()
	if !p.attester.Active() {
		p.mu.Unlock()
		return
	}
	now := p.clock.Now()
	reads, role := p.attester.Reads(now), p.attester.Role()
	_, age, proven := p.attester.Best(now)
	queries, peers := p.attester.Pull(now, a.proofPeers)
	missing := p.attester.Links(now, a.proofPeers)
	p.mu.Unlock()
	for _, m := range missing {
		a.dial(m)
	}
	a.logProof(role, age, proven)
	if reads {
		a.metrics.count("proof/asked")
		go a.askStore(ctx)
	}
	for i, peer := range peers {
		a.sendProof(peer.Name, queries[i])
	}
}

// logProof logs changes of the role of the node, and when the proof becomes too old or recent again. Without a proof, the age is
// that of the need for one.
func (a *Agent) logProof(role int, age time.Duration, proven bool) {
	p := &a.proof
	if role != p.role {
		p.role = role
		a.Log.Info().Bool("reader", role == attester.RoleReader).Bool("standby", role == attester.RoleStandby).Msg("proof: role")
	}
	old := age > maxProofAge
	if old == p.old {
		return
	}
	p.old = old
	if old {
		a.Log.Warn().Bool("proven", proven).Int64("age-ms", age.Milliseconds()).Msg("proof: configuration not proven")
		return
	}
	a.Log.Info().Int64("age-ms", age.Milliseconds()).Msg("proof: configuration proven")
}

// askStore asks the store for a proof and offers it to peers. A newer configuration comes into force before the proof counts.
func (a *Agent) askStore(ctx context.Context) {
	p := &a.proof
	f, err := p.verifier.Verify(ctx)
	r := a.routes.Load()
	p.mu.Lock()
	switch {
	case err != nil:
		p.attester.Refused()
	case r == nil || !f.Found || f.Sum != r.sum:
		p.attester.Unproven()
	default:
		p.attester.Asked(attester.Proof{At: f.At, Version: r.table.Version, Sum: f.Sum, Era: f.Era})
	}
	p.mu.Unlock()
	switch {
	case err == nil && (!f.Found || r == nil || f.Sum != r.sum):
		a.metrics.count("proof/other-configuration")
		a.Log.Debug().Int64("era", f.Era).Bool("found", f.Found).Msg("proof: the store holds another configuration")
	case errors.Is(err, hornbeamcroft.ErrStoreUnreachable):
		a.metrics.count("proof/refused")
	case err != nil:
		a.metrics.count("proof/failed")
	}
	a.offerProof()
}

// offerProof offers the best proof to peers if it is due.
func (a *Agent) offerProof() {
	p := &a.proof
	p.mu.Lock()
	offer, peers := p.attester.Offer(p.clock.Now(), a.proofPeers)
	p.mu.Unlock()
	for _, peer := range peers {
		a.sendProof(peer.Name, offer)
	}
}

// proofMetrics holds the name of the counter of sent messages by kind.
var proofMetrics = map[int]string{
	attester.KindOffer: "proof/offers-sent", attester.KindQuery: "proof/queries-sent", attester.KindAnswer: "proof/answers-sent",
}

// sendProof sends a message to a peer in the background.
func (a *Agent) sendProof(peer string, m attester.Message) {
	l := a.links.LinkTo(peer)
	if l == nil {
		return
	}
	a.metrics.count(proofMetrics[m.Kind])
	go a.send(l, framer.TypeConfigurationProof, m)
}

// proofPeers returns the nodes to which a link is open.
func (a *Agent) proofPeers() []attester.Peer {
	var peers []attester.Peer
	known := make(map[string]bool)
	for _, l := range a.links.Links() {
		if !known[l.Peer.Name] {
			known[l.Peer.Name] = true
			peers = append(peers, attester.Peer{Name: l.Peer.Name, Zone: l.Peer.Zone})
		}
	}
	return peers
}

// onProof handles a message about the proof of a configuration. A newer version than the one in force is requested.
func (a *Agent) onProof(l *connector.Link, m attester.Message) {
	p := &a.proof
	var reply attester.Message
	var replies, newer bool
	p.mu.Lock()
	switch now := p.clock.Now(); m.Kind {
	case attester.KindOffer:
		reply, replies, newer = p.attester.Offered(now, l.Peer.Name, m)
	case attester.KindQuery:
		reply, replies = p.attester.Answer(now, m)
	case attester.KindAnswer:
		newer = p.attester.Passed(now, l.Peer.Name, m)
	}
	p.mu.Unlock()
	switch {
	case newer:
		a.compareRoutes(l, m.Version)
	case replies:
		a.sendProof(l.Peer.Name, reply)
	case m.Kind == attester.KindAnswer:
		a.metrics.count("proof/answers-received")
		a.offerProof()
	}
}

// collectProof sets the gauges of the proof. The age is -1 if there is none.
func (a *Agent) collectProof() {
	ageMs := int64(-1)
	if age, proven := a.configurationAge(); proven {
		ageMs = age.Milliseconds()
	}
	a.proof.mu.Lock()
	role := a.proof.attester.Role()
	a.proof.mu.Unlock()
	a.metrics.gauge("proof/age-ms", ageMs)
	a.metrics.gauge("proof/role", int64(role))
}
