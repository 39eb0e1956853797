package owner

import (
	"slices"
	"time"

	"hornbeamcroft"
)

const (
	// TickInterval is how often a node calls Tick.
	TickInterval = 100 * time.Millisecond
	// DriftPercent is the greatest difference, in percent, between the rates of two hosts' monotonic clocks.
	DriftPercent = 5

	defaultPermitTime = time.Second
	defaultClockSkew  = time.Second
	defaultKeyWindow  = 10 * time.Minute
)

// Owner is one node's view of the epoch of its service, with the node's permit and the takeover that it drives. Set the
// exported fields before the first call of a method. Times called now are on the node's monotonic clock.
type Owner struct {
	// Self is the name of the node and is stable over restarts. At most one process runs under a name at any time.
	Self    string
	Service string
	// Incarnation rises with every start of the node.
	Incarnation uint64
	// PermitTime is the validity of permits in the epochs that this node writes; zero means 1 s. A change applies from
	// the next epoch on.
	PermitTime time.Duration
	// ClockSkew is the greatest difference between wall clocks of hosts and callers; zero means 1 s.
	ClockSkew time.Duration
	// KeyWindow is the time for which the deduper keeps the record of a key; zero means 10 min.
	KeyWindow time.Duration

	started            bool
	startedAt          time.Duration
	epoch              Epoch
	roster             roster
	previousRoster     roster
	storeRead          bool          // a read of the store from after this node's start has arrived
	adoptedPrevious    bool          // this process also adopted the previous epoch, whose number is one less
	modRevision        int64         // ModRevision of the epoch's key in the store; zero if unknown, as when a peer sent the epoch
	learnedAt          time.Duration // when the epoch was adopted
	settledOrAdoptedAt time.Duration // when the epoch was adopted, or later, when it was learned to be settled
	recovering         bool
	permitUntil        time.Duration
	permitKind         PermitKind
	storeBehind        bool
	targetRoster       []string
	mayPropose         bool
	stoppedMembers     []string
	nextID             uint64
	requests           storeRequests
	permitRound        permitRound
	takeover           takeover
	keyMoves           []keyMove
	mutation           mutations
}

// mutations break single rules of the protocol. Only tests set them, to show that each rule is needed.
type mutations struct {
	noWait            bool // settles an epoch without waiting for the permits of the epoch before to end
	ackBeforeWrite    bool // collects the acknowledgements before the epoch is written to the store
	recoverByWaiting  bool // ends the recovery of a restarted node after the permit time
	halfPermit        bool // grants a permit on replies from half of the roster in place of more than half
	ackOfAnyRestart   bool // counts members that acknowledged once, though they may have restarted since
	settleWithoutAcks bool // settles an epoch without counting acknowledgements
	serveUnsettled    bool // serves every moved key before the epoch is settled
	ignoreRelayAge    bool // treats a read of a relay as sent when this node asked the relay
}

// PermitKind is the evidence that a permit is based on.
type PermitKind uint8

// The kinds of permits.
const (
	// PermitNone means that the node holds no permit.
	PermitNone PermitKind = iota
	// PermitStore is based on a read of the store.
	PermitStore
	// PermitMajority is based on replies from more than half of the roster, which may include the node itself.
	PermitMajority
)

// String returns the name used on the status page and in logs.
func (k PermitKind) String() string {
	names := [...]string{"none", "store", "majority"}
	if int(k) >= len(names) {
		return "invalid"
	}
	return names[k]
}

// Output lists what a method asks the node to do, and what the method learned.
type Output struct {
	// Send lists the messages to send.
	Send []Send
	// Store lists the store requests to perform.
	Store []StoreRequest
	// Adopted is true if a newer epoch was learned. The node then exports the records of the keys that moved away.
	Adopted bool
	// Settled is true if the current epoch was learned to be settled.
	Settled bool
	// StoreBehind is true if the store returned an older epoch than the node knows, or none, as after a restore of the
	// store from a backup.
	StoreBehind bool
}

// add appends the messages and requests of other and combines its flags with those of o.
func (o *Output) add(other Output) {
	o.Send = append(o.Send, other.Send...)
	o.Store = append(o.Store, other.Store...)
	o.Adopted = o.Adopted || other.Adopted
	o.Settled = o.Settled || other.Settled
	o.StoreBehind = o.StoreBehind || other.StoreBehind
}

// Status is a summary of an Owner.
type Status struct {
	Epoch Epoch
	// Recovering is true from the start of the node until a read of the store or more than half of the roster shows
	// the newest epoch. The node runs no non-idempotent requests meanwhile, since it may have forgotten an
	// acknowledgement that it gave before a restart.
	Recovering bool
	Permit     PermitKind
	// PermitLeft is the time until the permit ends.
	PermitLeft time.Duration
	// StoreBehind is true if the latest read of the store returned an older epoch than the node knows, or none.
	StoreBehind bool
	// Horizon is the latest issue time, in Unix milliseconds, up to which a key without a record may have run at an
	// earlier home; zero if there is none.
	Horizon int64
	// Acknowledged is the number of other members of the previous roster that acknowledged the epoch to this node while
	// it drives the takeover.
	Acknowledged int
	// StoreRead is true once a read of the store from after the node's start has arrived. A node that joins a roster
	// before that must treat the keys that it gains as from before the takeover, see Verdict.BeforeTakeover.
	StoreRead bool
}

// Status returns the state at the monotonic time now and the wall-clock time wall, in Unix milliseconds.
func (o *Owner) Status(now time.Duration, wall int64) Status {
	s := Status{
		Epoch: o.epoch, Recovering: o.recovering, StoreBehind: o.storeBehind,
		Acknowledged: len(o.takeover.holdings), StoreRead: o.storeRead,
	}
	if o.permitted(now) {
		s.Permit, s.PermitLeft = o.permitKind, o.permitUntil-now
	}
	s.Horizon, _ = o.Horizon(now, wall)
	return s
}

// Key returns the store key that holds the epoch of the service.
func (o *Owner) Key() string { return hornbeamcroft.KeyEpochPrefix + o.Service }

// Home returns the home of an idempotency key and the number of the epoch by which it was chosen; the home is empty
// while no epoch is known.
func (o *Owner) Home(key string) (string, uint64) { return o.roster.home(key), o.epoch.Number }

// Epoch returns the newest epoch that the node knows; the zero Epoch if none. The caller must not change its slices.
func (o *Owner) Epoch() Epoch { return o.epoch }

// SetTarget sets the live members of the service, in any order. With mayPropose, the node writes an epoch with this
// roster when the current roster differs; without, it only sends permit queries to these members while it knows no
// epoch. Members in stopped are those that an operator declares stopped.
func (o *Owner) SetTarget(names, stopped []string, mayPropose bool) {
	o.mayPropose = mayPropose
	o.targetRoster = slices.Compact(slices.Sorted(slices.Values(names)))
	o.stoppedMembers = slices.Compact(slices.Sorted(slices.Values(stopped)))
}

// Tick performs the work that is due at the monotonic time now: it reads the store, renews the permit and continues the
// takeover. Wall is the wall-clock time in Unix milliseconds.
func (o *Owner) Tick(now time.Duration, wall int64) Output {
	o.startOnce(now)
	var out Output
	out.add(o.tickStore(now))
	out.add(o.tickPermit(now))
	out.add(o.tickTakeover(now))
	o.startServing(now, wall)
	o.dropExpiredMoves(now, wall)
	return out
}

// startOnce fills in the defaults of the exported fields and begins the recovery, at the first call of a method that gets
// the time. Later calls change nothing.
func (o *Owner) startOnce(now time.Duration) {
	if o.started {
		return
	}
	o.started, o.startedAt, o.recovering = true, now, true
	if o.PermitTime == 0 {
		o.PermitTime = defaultPermitTime
	}
	if o.ClockSkew == 0 {
		o.ClockSkew = defaultClockSkew
	}
	if o.KeyWindow == 0 {
		o.KeyWindow = defaultKeyWindow
	}
}

// adopt replaces the node's epoch by a newer one from the store or from a peer, or marks the same epoch as settled. A
// peer sends an epoch only after it was written to the store.
func (o *Owner) adopt(now time.Duration, e Epoch) Output {
	if e.Service != o.Service || e.Number < o.epoch.Number {
		return Output{}
	}
	if e.Number == o.epoch.Number {
		if e.Settled && !o.epoch.Settled {
			o.epoch.Settled, o.settledOrAdoptedAt, o.modRevision = true, now, 0
			return Output{Settled: true}
		}
		return Output{}
	}
	o.adoptedPrevious = e.Number == o.epoch.Number+1 && o.epoch.Number != 0
	o.epoch, o.modRevision, o.learnedAt, o.settledOrAdoptedAt = e, 0, now, now
	o.roster, o.previousRoster = newRoster(e.Roster), newRoster(e.Previous)
	o.permitRound, o.takeover = permitRound{}, takeover{}
	o.addKeyMoves(!o.adoptedPrevious)
	return Output{Adopted: true, Settled: e.Settled}
}

// Receive handles a message of another member; from is the name that the sender proved in the hello of the link. It
// ignores malformed messages.
func (o *Owner) Receive(now time.Duration, from string, m Message) Output {
	o.startOnce(now)
	if m.Check() != nil {
		return Output{}
	}
	switch m := m.(type) {
	case EpochOffer:
		return o.receiveOffer(now, from, m)
	case EpochAck:
		return o.receiveAck(now, from, m)
	case PermitQuery:
		return o.receiveQuery(from, m)
	case PermitReply:
		return o.receiveReply(now, from, m)
	}
	return Output{}
}
