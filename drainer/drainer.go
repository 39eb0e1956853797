package drainer

import (
	"time"

	"github.com/go-faster/errors"
)

// State is the stage of a planned stop.
type State uint8

// The states, in the order in which they are passed.
const (
	// StateServing takes on all calls.
	StateServing State = iota
	// StateDraining refuses new calls and finishes the calls in flight.
	StateDraining
	// StateHandingOver moves the key records to their new homes. The calls that were in flight have ended or the
	// deadline has passed; Admit can still add calls.
	StateHandingOver
	// StateDrained has returned ActionLeave; the node may leave.
	StateDrained
)

// String returns the name used in status output and logs.
func (s State) String() string {
	names := [...]string{"serving", "draining", "handing-over", "drained"}
	if int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

// Kind is the origin of a call.
type Kind uint8

// The kinds of calls in flight.
const (
	// KindLink is a call that the node runs at its local upstream, whether it arrived over a link from another node or
	// was forwarded by this node.
	KindLink Kind = iota
	// KindHTTP is a call that arrived over HTTP from an external caller or from the local upstream. It is in flight
	// until its whole answer is written.
	KindHTTP
	// KindChild is a child call: one that the local upstream makes while it works on a call. The node does not use this
	// kind: it counts child calls, which arrive over HTTP, as KindHTTP.
	KindChild

	// KindCount is the number of kinds.
	KindCount
)

// String returns the name used in status output and logs.
func (k Kind) String() string {
	names := [KindCount]string{"link", "http", "child"}
	if k >= KindCount {
		return "invalid"
	}
	return names[k]
}

// Action is a step of a planned stop for the node to carry out.
type Action uint8

// The actions of a stop, in order.
const (
	// ActionAnnounce announces MemberDraining to the other members at once.
	ActionAnnounce Action = iota
	// ActionStartEpoch starts the change to a roster epoch without this node.
	ActionStartEpoch
	// ActionHandOver sends the key records to their new homes.
	ActionHandOver
	// ActionLeave closes the listener for external callers, announces MemberLeft, closes the links and ends the
	// process.
	ActionLeave
)

// String returns the name used in logs.
func (a Action) String() string {
	names := [...]string{"announce", "start-epoch", "hand-over", "leave"}
	if int(a) >= len(names) {
		return "invalid"
	}
	return names[a]
}

// Default times of a planned stop.
const (
	// DefaultLinger is the default of Config.Linger. Every other node stops sending new calls to a draining node within
	// 2 s of the begin of the planned stop. A node that left earlier would close links over which calls still arrive,
	// instead of refusing these calls.
	DefaultLinger = 2 * time.Second
	// DefaultDeadline is the default of Config.Deadline. It is no shorter than the longest usual request timeout, so that
	// requests in flight can finish.
	DefaultDeadline = time.Minute
	// DefaultHandoverTimeout is the default of Config.HandoverTimeout. It covers an epoch change, which takes two permit
	// times and the time until the acknowledgements arrive.
	DefaultHandoverTimeout = 10 * time.Second
)

// Config holds the times of a planned stop.
type Config struct {
	// Linger is the least time from Start to ActionLeave.
	Linger time.Duration
	// Deadline is the longest time, from Start, that calls in flight may take, whenever they began. Calls that still
	// run then are interrupted.
	Deadline time.Duration
	// HandoverTimeout is the longest time for the handover. For a key whose record was not handed over, its new home
	// answers that the outcome is unknown.
	HandoverTimeout time.Duration
}

// Status describes a planned stop for operators.
type Status struct {
	State State
	// InFlight is the number of calls in flight by Kind.
	InFlight [KindCount]int
	// Refused is the number of calls that Begin refused.
	Refused int
	// Interrupted is the number of calls that were in flight when the deadline ended StateDraining or, later, at
	// ActionLeave; zero is the target.
	Interrupted int
	// HandoverTimedOut is true if the handover did not end within the handover timeout.
	HandoverTimedOut bool
	// Remaining is the time until the deadline of the current state, or zero in StateServing and StateDrained.
	Remaining time.Duration
}

// Drainer counts the calls in flight and orders the steps of a planned stop.
type Drainer struct {
	cfg        Config
	status     Status
	startedAt  time.Duration
	deadline   time.Duration
	handedOver bool
}

// New returns a Drainer in StateServing.
func New(cfg Config) (*Drainer, error) {
	if cfg.Linger < 0 || cfg.Deadline < cfg.Linger || cfg.HandoverTimeout <= 0 {
		return nil, errors.Errorf("drainer: linger %s must be 0 to the deadline, which is %s, and handover timeout %s must be more than 0",
			cfg.Linger, cfg.Deadline, cfg.HandoverTimeout)
	}
	return &Drainer{cfg: cfg}, nil
}

// Begin takes on a call and reports true, or reports false if the call must be refused. In StateDraining it takes on
// only child calls while calls are in flight, because those calls could not finish without them.
func (d *Drainer) Begin(k Kind) bool {
	ok := d.status.State == StateServing
	if d.status.State == StateDraining && k == KindChild {
		ok = d.inFlight() > 0
	}
	if !ok {
		d.status.Refused++
		return false
	}
	d.status.InFlight[k]++
	return true
}

// Admit takes on a call that must not be refused even during a planned stop, for example a call with a key whose home
// is still this node.
func (d *Drainer) Admit(k Kind) { d.status.InFlight[k]++ }

// End records the end of a call: its whole answer is sent.
func (d *Drainer) End(k Kind) {
	if d.status.InFlight[k] > 0 {
		d.status.InFlight[k]--
	}
}

// inFlight returns the number of calls in flight of all kinds.
func (d *Drainer) inFlight() int {
	sum := 0
	for _, n := range d.status.InFlight {
		sum += n
	}
	return sum
}

// Start begins the planned stop and returns its first actions. Repeated calls change nothing.
func (d *Drainer) Start(now time.Duration) []Action {
	if d.status.State != StateServing {
		return nil
	}
	d.status.State = StateDraining
	d.startedAt, d.deadline = now, now+d.cfg.Deadline
	return []Action{ActionAnnounce, ActionStartEpoch}
}

// HandedOver records that all key records are with their new homes. It has no effect outside StateHandingOver.
func (d *Drainer) HandedOver() { d.handedOver = d.status.State == StateHandingOver }

// Tick returns the actions that became due.
func (d *Drainer) Tick(now time.Duration) []Action {
	var actions []Action
	if d.status.State == StateDraining && (d.inFlight() == 0 || now >= d.deadline) {
		d.status.Interrupted = d.inFlight()
		d.status.State = StateHandingOver
		d.deadline = now + d.cfg.HandoverTimeout
		return []Action{ActionHandOver}
	}
	if d.status.State == StateHandingOver && (d.handedOver || now >= d.deadline) && d.mayLeave(now) {
		d.status.Interrupted = d.inFlight()
		d.status.HandoverTimedOut = !d.handedOver
		d.status.State = StateDrained
		actions = append(actions, ActionLeave)
	}
	return actions
}

// mayLeave reports whether the linger is over and the calls that Admit took on since the handover began have ended.
// After the deadline it does not wait for these calls.
func (d *Drainer) mayLeave(now time.Duration) bool {
	waited := now - d.startedAt
	return waited >= d.cfg.Linger && (d.inFlight() == 0 || waited >= d.cfg.Deadline)
}

// Status returns the current Status.
func (d *Drainer) Status(now time.Duration) Status {
	s := d.status
	if s.State == StateDraining || s.State == StateHandingOver {
		s.Remaining = max(0, d.deadline-now)
	}
	return s
}
