package drainer

import (
	"time"

	"github.com/go-faster/errors"
)

// State is the stage of the stop.
type State uint8

// The states, in the order in which they are passed.
const (
	// StateServing takes on all work.
	StateServing State = iota
	// StateDraining refuses new calls and finishes what is in flight.
	StateDraining
	// StateHandingOver has no work in flight; the key records are final and move to their new homes.
	StateHandingOver
	// StateDrained may leave.
	StateDrained
)

// String returns the name used in show and logs.
func (s State) String() string {
	names := [...]string{"serving", "draining", "handing-over", "drained"}
	if int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

// Kind is where work comes from.
type Kind uint8

// The kinds of work in flight.
const (
	// KindLink is a call that arrived over a link from another node.
	KindLink Kind = iota
	// KindHTTP is a call that a caller sent to this node, until its whole answer is written.
	KindHTTP
	// KindChild is a call that the own upstream makes while it works on a call.
	KindChild

	// KindCount is the number of kinds.
	KindCount
)

// String returns the name used in show and logs.
func (k Kind) String() string {
	names := [KindCount]string{"link", "http", "child"}
	if k >= KindCount {
		return "invalid"
	}
	return names[k]
}

// Action is what the node does next.
type Action uint8

// The actions of a stop, in order.
const (
	// ActionAnnounce announces MemberDraining; it is pushed at once.
	ActionAnnounce Action = iota
	// ActionStartEpoch proposes the roster epoch without this node.
	ActionStartEpoch
	// ActionHandOver sends the key records to their new homes.
	ActionHandOver
	// ActionLeave closes the listener for callers, announces MemberLeft, closes the links and ends the process.
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

// Default times of a stop.
const (
	// DefaultLinger is the time in which every node stops sending new work (promise P6). A node that left earlier
	// would cut links on which calls are still arriving to be refused.
	DefaultLinger = 2 * time.Second
	// DefaultDeadline covers the longest usual request timeout.
	DefaultDeadline = time.Minute
	// DefaultHandOverTime covers an epoch change: two permit times and the acknowledgements.
	DefaultHandOverTime = 10 * time.Second
)

// Config is what a Drainer starts with.
type Config struct {
	// Linger is the shortest time between the announcement and the leave.
	Linger time.Duration
	// Deadline is the longest time for work in flight, from Start, whenever it was taken on. Work that is still running
	// then is interrupted.
	Deadline time.Duration
	// HandOverTime is the longest time for the handover. What was not handed over is "outcome unknown" at its new
	// home.
	HandOverTime time.Duration
}

// Status is the state of the stop for operators.
type Status struct {
	State State
	// InFlight holds the work in flight by Kind.
	InFlight [KindCount]int
	// Refused counts the work that Begin refused.
	Refused int
	// Interrupted is the work that was in flight at the deadline; zero is the target.
	Interrupted int
	// HandOverCut is true if the handover did not end in its time.
	HandOverCut bool
	// Left is the time until the deadline of the current state; zero while serving or drained.
	Left time.Duration
}

// Drainer counts the work in flight and orders the steps of a planned stop.
type Drainer struct {
	cfg        Config
	status     Status
	started    time.Duration
	until      time.Duration
	handedOver bool
}

// New returns a Drainer that serves.
func New(cfg Config) (*Drainer, error) {
	if cfg.Linger < 0 || cfg.Deadline < cfg.Linger || cfg.HandOverTime <= 0 {
		return nil, errors.Errorf("drainer: linger %s, deadline %s, hand-over time %s: need 0 <= linger <= deadline and a hand-over time",
			cfg.Linger, cfg.Deadline, cfg.HandOverTime)
	}
	return &Drainer{cfg: cfg}, nil
}

// Begin asks to take on a piece of work. While draining, only child calls of work in flight are taken on, because
// that work could not finish without them.
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

// Admit takes on a piece of work that must not be refused even while draining, for example a call with a key whose home
// is still this node.
func (d *Drainer) Admit(k Kind) { d.status.InFlight[k]++ }

// End tells that a piece of work is over, its whole answer sent.
func (d *Drainer) End(k Kind) {
	if d.status.InFlight[k] > 0 {
		d.status.InFlight[k]--
	}
}

func (d *Drainer) inFlight() int {
	sum := 0
	for _, n := range d.status.InFlight {
		sum += n
	}
	return sum
}

// Start begins the stop. Repeated calls change nothing.
func (d *Drainer) Start(now time.Duration) []Action {
	if d.status.State != StateServing {
		return nil
	}
	d.status.State = StateDraining
	d.started, d.until = now, now+d.cfg.Deadline
	return []Action{ActionAnnounce, ActionStartEpoch}
}

// HandedOver tells that all key records are with their new homes.
func (d *Drainer) HandedOver() { d.handedOver = d.status.State == StateHandingOver }

// Tick returns the actions that became due.
func (d *Drainer) Tick(now time.Duration) []Action {
	var out []Action
	if d.status.State == StateDraining && (d.inFlight() == 0 || now >= d.until) {
		d.status.Interrupted = d.inFlight()
		d.status.State = StateHandingOver
		d.until = now + d.cfg.HandOverTime
		return []Action{ActionHandOver}
	}
	if d.status.State == StateHandingOver && (d.handedOver || now >= d.until) && d.mayLeave(now) {
		d.status.Interrupted = d.inFlight()
		d.status.HandOverCut = !d.handedOver
		d.status.State = StateDrained
		out = append(out, ActionLeave)
	}
	return out
}

// mayLeave reports whether the linger is over and the work that Admit took on since the handover began has ended.
func (d *Drainer) mayLeave(now time.Duration) bool {
	waited := now - d.started
	return waited >= d.cfg.Linger && (d.inFlight() == 0 || waited >= d.cfg.Deadline)
}

// Status returns the state for operators.
func (d *Drainer) Status(now time.Duration) Status {
	s := d.status
	if s.State == StateDraining || s.State == StateHandingOver {
		s.Left = max(0, d.until-now)
	}
	return s
}
