package owner

import (
	"slices"
	"time"

	"hornbeamcroft"
)

const (
	// TickInterval is how often a node calls Tick.
	TickInterval = 100 * time.Millisecond
	// DriftPercent is the greatest difference between the rates of two hosts' monotonic clocks.
	DriftPercent = 5

	defaultPermitTime = time.Second
	defaultClockSkew  = time.Second
	defaultKeyWindow  = 10 * time.Minute
)

// Owner holds one node's view of the roster epoch of its service.
type Owner struct {
	// Self is the name of the node, stable over restarts. At most one process runs under a name.
	Self    string
	Service string
	// Incarnation differs for every start of the node.
	Incarnation uint64
	// PermitTime is T for the epochs that this node writes; zero means 1 s. It applies from the next epoch on.
	PermitTime time.Duration
	// ClockSkew is the greatest difference between wall clocks of hosts and callers; zero means 1 s.
	ClockSkew time.Duration
	// KeyWindow is the time for which a key is remembered; zero means 10 min.
	KeyWindow time.Duration

	started     bool
	startedAt   time.Duration
	epoch       Epoch
	current     roster
	previous    roster
	checked     bool  // the store was read after the start
	continuous  bool  // the epoch before was adopted too
	modRevision int64 // of epoch in the store; zero if the epoch was learned from a peer
	learnedAt   time.Duration
	settledAt   time.Duration
	recovering  bool
	permitUntil time.Duration
	permitKind  PermitKind
	behind      bool
	target      []string
	drive       bool
	dead        []string
	nextID      uint64
	reads       reads
	round       permitRound
	takeover    takeover
	moves       []move
	relax       relaxations
}

// relaxations switch off single rules. Tests set them to show that each rule is needed.
type relaxations struct {
	noWait            bool // settles without the wait after the acknowledgements
	ackBeforeWrite    bool // gathers the acknowledgements before the compare-and-swap
	recoverByWaiting  bool // a restarted node leaves recovery after T
	halfPermit        bool // at least half in place of more than half confirms a permit
	ackOfAnyRestarted bool // counts acknowledgements that were never held at one common time
	settleAnyCount    bool // settles without counting acknowledgements
	openMoved         bool // serves a moved key before the epoch is settled
	clockedRelay      bool // ignores the age that a relay reports
}

// PermitKind tells what a permit is based on.
type PermitKind uint8

// The kinds of permits.
const (
	PermitNone PermitKind = iota
	// PermitStore is based on a read of the store.
	PermitStore
	// PermitMajority is based on replies from more than half of the roster.
	PermitMajority
)

// String returns the name used in status and logs.
func (k PermitKind) String() string {
	names := [...]string{"none", "store", "majority"}
	if int(k) >= len(names) {
		return "invalid"
	}
	return names[k]
}

// Output is what a method asks the node to do.
type Output struct {
	Send  []Send
	Store []StoreRequest
	// Adopted is true if a newer epoch was learned. The node then exports the records of the keys that moved away.
	Adopted bool
	// Settled is true if the current epoch was learned to be settled.
	Settled bool
	// StoreBehind is true if the store returned an older epoch than the node knows, as after a restore.
	StoreBehind bool
}

func (o *Output) add(p Output) {
	o.Send = append(o.Send, p.Send...)
	o.Store = append(o.Store, p.Store...)
	o.Adopted = o.Adopted || p.Adopted
	o.Settled = o.Settled || p.Settled
	o.StoreBehind = o.StoreBehind || p.StoreBehind
}

// Status is a summary for the status page.
type Status struct {
	Epoch       Epoch
	Recovering  bool
	Permit      PermitKind
	PermitLeft  time.Duration
	StoreBehind bool
	// Horizon is the latest time, in Unix milliseconds, before which keys without a record are answered as unknown;
	// zero if there is none.
	Horizon int64
	// Acknowledged is the number of members of the previous roster known to hold the epoch, while this node drives it.
	Acknowledged int
	// Checked is true once a read of the store from after the node's start has arrived. A node that joins a roster
	// before that must treat the keys that it gains as old.
	Checked bool
}

// Status returns the state at the given time.
func (o *Owner) Status(now time.Duration, wall int64) Status {
	s := Status{Epoch: o.epoch, Recovering: o.recovering, StoreBehind: o.behind, Acknowledged: len(o.takeover.held), Checked: o.checked}
	if o.permitted(now) {
		s.Permit, s.PermitLeft = o.permitKind, o.permitUntil-now
	}
	s.Horizon, _ = o.Horizon(now, wall)
	return s
}

// Key returns the key of the epoch in the store.
func (o *Owner) Key() string { return hornbeamcroft.KeyEpochPrefix + o.Service }

// Home returns the home of a key and the epoch by which it was chosen; empty while no epoch is known.
func (o *Owner) Home(key string) (string, uint64) { return o.current.home(key), o.epoch.Number }

// Epoch returns the newest epoch that the node knows; the zero Epoch if none. Its slices must not be changed.
func (o *Owner) Epoch() Epoch { return o.epoch }

// SetTarget sets the live members of the service, in any order. With drive, the node writes epochs towards this roster;
// without, it only asks these members while it knows no epoch. Members in dead are those that an operator declares
// stopped.
func (o *Owner) SetTarget(names, dead []string, drive bool) {
	o.drive = drive
	o.target = slices.Compact(slices.Sorted(slices.Values(names)))
	o.dead = slices.Compact(slices.Sorted(slices.Values(dead)))
}

// Tick lets time pass. The wall clock is in Unix milliseconds.
func (o *Owner) Tick(now time.Duration, wall int64) Output {
	o.start(now)
	var out Output
	out.add(o.tickReads(now))
	out.add(o.tickPermit(now))
	out.add(o.tickTakeover(now))
	o.begin(now, wall)
	o.dropMoves(now, wall)
	return out
}

func (o *Owner) start(now time.Duration) {
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

// adopt takes over an epoch from the store or from a peer. An epoch is only ever offered after it was written.
func (o *Owner) adopt(now time.Duration, e Epoch) Output {
	if e.Service != o.Service || e.Number < o.epoch.Number {
		return Output{}
	}
	if e.Number == o.epoch.Number {
		if e.Settled && !o.epoch.Settled {
			o.epoch.Settled, o.settledAt, o.modRevision = true, now, 0
			return Output{Settled: true}
		}
		return Output{}
	}
	o.continuous = e.Number == o.epoch.Number+1 && o.epoch.Number != 0
	o.epoch, o.modRevision, o.learnedAt, o.settledAt = e, 0, now, now
	o.current, o.previous = newRoster(e.Roster), newRoster(e.Previous)
	o.round, o.takeover = permitRound{}, takeover{}
	o.addMove(!o.continuous)
	return Output{Adopted: true, Settled: e.Settled}
}

// Receive handles a message of another member; from is the name that the link proved.
func (o *Owner) Receive(now time.Duration, from string, m Message) Output {
	o.start(now)
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
