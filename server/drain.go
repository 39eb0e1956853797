package server

import (
	"context"
	"sync"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/drainer"
	"hornbeamcroft/listener"
)

const (
	// leaveDelay is how long the node keeps its links open after it has announced that it left, so that the
	// announcement reaches the other nodes.
	leaveDelay = 200 * time.Millisecond
	// drainTickInterval is the interval at which a planned stop checks whether its next action is due.
	drainTickInterval = 5 * time.Millisecond
	// drainHomeTime is how long a draining node still runs calls with keys whose home it is, so that a planned stop
	// refuses fewer of them. It is below drainer.DefaultLinger, after which no node sends new work to a draining node.
	drainHomeTime = 1500 * time.Millisecond
	// minCloseTimeout is the least time that a listener gets to finish its requests in flight.
	minCloseTimeout = 2 * time.Second
)

// drain carries out a planned stop. It adds the lock, the clock and the actions of the drainer.
type drain struct {
	s *Server
	// requested is closed when a planned stop is requested.
	requested   chan struct{}
	requestOnce sync.Once

	mu      sync.Mutex
	drainer *drainer.Drainer
	// draining is true once the stop has begun, at startedAt.
	draining  bool
	startedAt time.Duration
}

func newDrain(s *Server) (*drain, error) {
	d, err := drainer.New(drainer.Config{
		Linger: drainer.DefaultLinger, Deadline: max(s.Settings.Node.DrainTimeout, drainer.DefaultLinger),
		HandoverTimeout: drainer.DefaultHandoverTimeout,
	})
	if err != nil {
		return nil, err
	}
	return &drain{s: s, drainer: d, requested: make(chan struct{})}, nil
}

// request requests a planned stop. Repeated calls change nothing.
func (d *drain) request() {
	d.requestOnce.Do(func() { close(d.requested) })
}

// begin counts a call as in flight. It reports false, and the call must be refused, if the drainer takes on no new
// calls.
func (d *drain) begin(k drainer.Kind) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.drainer.Begin(k)
}

// beginHome counts a call with a key whose home is this node as in flight. It reports false, and the call must be
// refused, if the node has been draining for more than drainHomeTime.
func (d *drain) beginHome() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining && d.s.clock.Now()-d.startedAt > drainHomeTime {
		return false
	}
	d.drainer.Admit(drainer.KindLink)
	return true
}

// beginHTTP counts a call that an external caller or the local upstream sent to this node as in flight. The receiver
// decides whether the call is refused.
func (d *drain) beginHTTP() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.drainer.Admit(drainer.KindHTTP)
}

// refuses reports whether a call of an external caller is refused because the node is draining. A resend, which may
// have run before, is still forwarded, because only the home of its key knows whether it ran.
func (d *drain) refuses(resend bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.draining && !resend
}

// end counts a call as finished.
func (d *drain) end(k drainer.Kind) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.drainer.End(k)
}

func (d *drain) isDraining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.draining
}

func (d *drain) status() drainer.Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.drainer.Status(d.s.clock.Now())
}

// run carries out a planned stop and returns when the process may exit. It calls closePublic, which finishes the calls
// of external callers, while the links are still open, since these calls may need them.
func (d *drain) run(closePublic listener.StopFunc) {
	d.s.Log.Info().Msg("drainer: planned stop begins")
	d.mu.Lock()
	d.draining, d.startedAt = true, d.s.clock.Now()
	actions := d.drainer.Start(d.startedAt)
	d.mu.Unlock()
	handingOver := false
	for {
		for _, a := range actions {
			switch a {
			case drainer.ActionAnnounce:
				d.s.members.announce(hornbeamcroft.MemberDraining)
			case drainer.ActionStartEpoch:
				// Nothing to do here: the other members propose the epoch when they receive the announcement.
			case drainer.ActionHandOver:
				handingOver = true
			case drainer.ActionLeave:
				d.leave(closePublic)
				return
			}
		}
		time.Sleep(drainTickInterval)
		handedOver := handingOver && (d.s.arbiter == nil || d.s.arbiter.HasLeft())
		d.mu.Lock()
		if handedOver {
			d.drainer.HandedOver()
		}
		actions = d.drainer.Tick(d.s.clock.Now())
		d.mu.Unlock()
	}
}

// leave finishes the last calls, hands over the SLO counts and announces that this node left.
func (d *drain) leave(closePublic listener.StopFunc) {
	timeout := max(minCloseTimeout, d.startedAt+d.s.Settings.Node.DrainTimeout-d.s.clock.Now())
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	closePublic(ctx)
	status := d.status()
	if status.Interrupted > 0 {
		d.s.Log.Warn().Int("calls", status.Interrupted).Msg("drainer: deadline passed, calls interrupted")
	}
	if status.HandoverTimedOut {
		d.s.Log.Warn().Msg("drainer: handover of key records timed out")
	}
	d.s.slo.handOver()
	d.s.members.announce(hornbeamcroft.MemberLeft)
	time.Sleep(leaveDelay)
}
