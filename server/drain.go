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
	// leaveTime is how long the node keeps its links after it has announced that it left, so that the announcement
	// arrives.
	leaveTime = 200 * time.Millisecond
	// drainTick is how often a stop looks whether its next step is due.
	drainTick = 5 * time.Millisecond
	// drainHomeTime is how long a draining node still takes new keys while it is their home, so that a planned stop
	// refuses fewer of them. It is below the 2 s after which a leaving upstream gets no new work.
	drainHomeTime = 1500 * time.Millisecond
	// closeTime is the shortest time that a listener gets for its last requests.
	closeTime = 2 * time.Second
)

// drain drives the drainer.
type drain struct {
	s     *Server
	start chan struct{}
	once  sync.Once

	mu        sync.Mutex
	core      *drainer.Drainer
	draining  bool
	startedAt time.Duration
}

func newDrain(s *Server) (*drain, error) {
	core, err := drainer.New(drainer.Config{
		Linger: drainer.DefaultLinger, Deadline: max(s.Settings.Node.DrainTimeout, drainer.DefaultLinger),
		HandOverTime: drainer.DefaultHandOverTime,
	})
	if err != nil {
		return nil, err
	}
	return &drain{s: s, core: core, start: make(chan struct{})}, nil
}

// ask begins a planned stop; further calls change nothing.
func (d *drain) ask() {
	d.once.Do(func() { close(d.start) })
}

// begin takes on a piece of work, or reports false while draining.
func (d *drain) begin(k drainer.Kind) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Begin(k)
}

// admit takes on a call of a key whose home is this node, unless the node has been draining for too long.
func (d *drain) admit() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining && d.s.clock.Now()-d.startedAt > drainHomeTime {
		return false
	}
	d.core.Admit(drainer.KindLink)
	return true
}

// count takes on a call of a caller or of the own upstream; the receiver decides whether it is refused.
func (d *drain) count() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.Admit(drainer.KindHTTP)
}

// refuses reports whether a call of an outside caller is refused. A resend that may have run before is still passed on,
// because only the home of its key can tell what happened to it.
func (d *drain) refuses(resend bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.draining && !resend
}

func (d *drain) end(k drainer.Kind) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.End(k)
}

func (d *drain) active() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.draining
}

func (d *drain) status() drainer.Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Status(d.s.clock.Now())
}

// run carries out a planned stop and returns when the node may end. It calls closePublic while the links still carry the
// last calls of callers.
func (d *drain) run(closePublic listener.StopFunc) {
	d.s.Log.Info().Msg("drainer: planned stop begins")
	d.mu.Lock()
	d.draining, d.startedAt = true, d.s.clock.Now()
	actions := d.core.Start(d.startedAt)
	d.mu.Unlock()
	handingOver := false
	for {
		for _, a := range actions {
			switch a {
			case drainer.ActionAnnounce:
				d.s.members.announce(hornbeamcroft.MemberDraining)
			case drainer.ActionStartEpoch:
				// The other members propose the epoch when they hear of the stop.
			case drainer.ActionHandOver:
				handingOver = true
			case drainer.ActionLeave:
				d.leave(closePublic)
				return
			}
		}
		time.Sleep(drainTick)
		left := handingOver && (d.s.arbiter == nil || d.s.arbiter.Left())
		d.mu.Lock()
		if left {
			d.core.HandedOver()
		}
		actions = d.core.Tick(d.s.clock.Now())
		d.mu.Unlock()
	}
}

func (d *drain) leave(closePublic listener.StopFunc) {
	deadline := max(closeTime, d.startedAt+d.s.Settings.Node.DrainTimeout-d.s.clock.Now())
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	closePublic(ctx)
	st := d.status()
	if st.Interrupted > 0 {
		d.s.Log.Warn().Int("calls", st.Interrupted).Msg("drainer: deadline passed, calls are interrupted")
	}
	if st.HandOverCut {
		d.s.Log.Warn().Msg("drainer: left without handing over key records")
	}
	d.s.slo.handOver()
	d.s.members.announce(hornbeamcroft.MemberLeft)
	time.Sleep(leaveTime)
}
