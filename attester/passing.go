package attester

import "time"

const (
	// offerMargin is by how much a proof must be later than the one offered last to be offered. Together, the readers get a proof
	// more often than nodes need one.
	offerMargin = 600 * time.Millisecond
	// queryMargin is by how much an offered proof must be later than the best one for a query.
	queryMargin = 300 * time.Millisecond
	// localOffers and remoteOffers are the numbers of peers in the zone of the node, and in other zones, that get an offer. They are
	// drawn again for each offer. With all links, the number of messages would grow with the number of links.
	localOffers  = 4
	remoteOffers = 2
	// pullAge is the age of the best proof above which the node queries peers that have offered nothing, pullInterval the time
	// between two such rounds and pullPeers the number of peers in each zone, own and others, that are queried in a round.
	pullAge      = 1100 * time.Millisecond
	pullInterval = 200 * time.Millisecond
	pullPeers    = 1
	// queryTime is for how long the answer to a query is awaited before other offers lead to further queries.
	queryTime = 100 * time.Millisecond
	// maxRecentQueries is the number of queries in queryTime that offers cause. The peer of the first may not answer.
	maxRecentQueries = 2
	// newerInterval is the least time between two reports of a newer version, unless it is a later one. A node that cannot read it
	// would request it with each offer.
	newerInterval = 500 * time.Millisecond
	// queryRetention is how long a query is kept. The answer to an older one would prove less than the node asks the store for.
	queryRetention = 2 * time.Second
)

// maxPassedAge is the maximum age of a proof that is passed on. With the default bounds, no decision uses an older one.
const maxPassedAge = 10 * time.Second

// Peer is a node to which a link is open.
type Peer struct {
	Name, Zone string
}

// passing decides what is offered to peers and queried from them.
type passing struct {
	// offeredAt is the time At of the proof that was offered last.
	offeredAt time.Duration
	offered   bool
	// queries holds the queries without an answer, oldest first.
	queries   []query
	lastPull  time.Duration
	nextNonce uint64
	// newest is the newest version that was reported, and newestAt when that was last.
	newest   int64
	newestAt time.Duration
}

// query is a query that was sent to a peer.
type query struct {
	nonce uint64
	peer  string
	at    time.Duration
}

// Offer returns an offer of the best proof and the peers to send it to; none if no offer is due. The node calls it after
// each proof.
func (a *Attester) Offer(now time.Duration, peers func() []Peer) (Message, []Peer) {
	p := a.current.proof
	if !a.passable(now) || a.offered && p.At-a.offeredAt < offerMargin {
		return Message{}, nil
	}
	a.offered, a.offeredAt = true, p.At
	return a.message(now, KindOffer, 0), a.draw(peers(), localOffers, remoteOffers)
}

// Answer returns the answer to a query of a peer, or false if the node has no proof.
func (a *Attester) Answer(now time.Duration, q Message) (Message, bool) {
	if !a.passable(now) {
		return Message{}, false
	}
	return a.message(now, KindAnswer, q.Nonce), true
}

// passable reports whether the best proof may be passed on.
func (a *Attester) passable(now time.Duration) bool {
	return a.active && a.current.proven && !a.carried && a.age(now) <= maxPassedAge
}

// message returns a message with the best proof.
func (a *Attester) message(now time.Duration, kind int, nonce uint64) Message {
	p := a.current.proof
	return Message{Kind: kind, Nonce: nonce, Version: p.Version, Sum: p.Sum, Era: p.Era, Age: now - p.At}
}

// Offered handles the offer of a peer. It returns the query to send to the peer, if the proof is wanted, and whether the peer has
// a newer version, which is to be requested.
func (a *Attester) Offered(now time.Duration, peer string, m Message) (q Message, wanted, newer bool) {
	if m.Version > a.current.version {
		return Message{}, false, a.reportsNewer(now, m.Version)
	}
	useful := a.active && m.Version == a.current.version && m.Sum == a.current.sum && m.Era >= a.era
	if !useful || a.current.proven && now-m.Age < a.current.proof.At+queryMargin {
		return Message{}, false, false
	}
	recent := 0
	for _, q := range a.queries {
		if now-q.at < queryTime {
			recent++
		}
	}
	if recent >= maxRecentQueries {
		return Message{}, false, false
	}
	return a.query(now, peer), true, false
}

// Pull returns the queries to send, and the peers to send them to, when the best proof is older than pullAge.
func (a *Attester) Pull(now time.Duration, peers func() []Peer) ([]Message, []Peer) {
	if !a.active || a.current.proven && a.age(now) < pullAge || now-a.lastPull < pullInterval {
		return nil, nil
	}
	a.lastPull = now
	drawn := a.draw(peers(), pullPeers, pullPeers)
	messages := make([]Message, len(drawn))
	for i, p := range drawn {
		messages[i] = a.query(now, p.Name)
	}
	return messages, drawn
}

// query records a query to a peer, and drops those that are too old.
func (a *Attester) query(now time.Duration, peer string) Message {
	for len(a.queries) > 0 && now-a.queries[0].at > queryRetention {
		a.queries = a.queries[1:]
	}
	if a.nextNonce == 0 {
		a.nextNonce = a.Rand.Uint64()
	}
	a.nextNonce++
	a.queries = append(a.queries, query{nonce: a.nextNonce, peer: peer, at: now})
	return Message{Kind: KindQuery, Nonce: a.nextNonce}
}

// Passed handles the answer of a peer. It returns whether the proof is of a newer version, which is to be requested.
//
// The peer stated the age after it had received the query, and so after the query was made: the proof is no older than the age
// before that time, however long the messages waited on the way or while one of the two nodes was frozen.
func (a *Attester) Passed(now time.Duration, peer string, m Message) (newer bool) {
	for i, q := range a.queries {
		if q.nonce == m.Nonce && q.peer == peer {
			a.queries = append(a.queries[:i:i], a.queries[i+1:]...)
			return a.add(Proof{At: q.at - m.Age, Version: m.Version, Sum: m.Sum, Era: m.Era}) && a.reportsNewer(now, m.Version)
		}
	}
	return false
}

// reportsNewer reports whether a newer version is to be requested, and records it.
func (a *Attester) reportsNewer(now time.Duration, version int64) bool {
	if version < a.newest || version == a.newest && now-a.newestAt < newerInterval {
		return false
	}
	a.newest, a.newestAt = version, now
	return true
}

// draw returns some of the peers at random, up to local of those in the zone of the node and up to remote of the others. It
// reorders the peers.
func (a *Attester) draw(peers []Peer, local, remote int) []Peer {
	var drawn []Peer
	for i := range peers {
		j := i + a.Rand.IntN(len(peers)-i)
		peers[i], peers[j] = peers[j], peers[i]
		left := &remote
		if peers[i].Zone == a.Zone {
			left = &local
		}
		if *left > 0 {
			*left--
			drawn = append(drawn, peers[i])
		}
	}
	return drawn
}
