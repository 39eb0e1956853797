package observer

import (
	"time"

	"hornbeamcroft"
)

// lateHeartbeatTime is how late the first heartbeat of a start may arrive for an answer before it to count as one of that start.
const lateHeartbeatTime = 30 * time.Second

// Moment is a moment on the monotonic clock of the node, and in Unix milliseconds by the time of day of the host.
type Moment struct {
	Monotonic time.Duration
	UnixMilli int64
}

// ApplyStatement applies what an instance stated about itself in an answer that arrived at the given moment, and reports whether that
// changed the state. The time born is that of the start to which the request was sent; zero if it was not known. A start that has stated
// once that it leaves is never used again.
func (o *Observer) ApplyStatement(at Moment, instance string, born int64, s hornbeamcroft.Statement) bool {
	if instance != o.upstream.Instance || born != 0 && born != o.upstream.Born {
		return false
	}
	before := o.upstream
	o.upstream.Answered = true
	if s.Leaving {
		o.leavingAnswer = at
	}
	o.setStatement(s)
	return o.upstream != before
}

// ApplyReport applies a statement of which another node has learned, and reports whether that changed the state. A rate limit
// in it counts only until the upstream has answered this process, which then knows better.
func (o *Observer) ApplyReport(r hornbeamcroft.InstanceStatement) bool {
	if r.Instance != o.upstream.Instance || o.upstream.Born != 0 && r.Born != o.upstream.Born {
		return false
	}
	before := o.upstream
	s := r.Statement
	if before.Answered {
		s = before.Statement
		s.Leaving = s.Leaving || r.Statement.Leaving
	}
	if o.onlyProbed {
		o.reportedBorn = r.Born
	}
	o.setStatement(s)
	return o.upstream != before
}

// setStatement sets the statement of the present start. An upstream that leaves is draining, whatever its announcements say.
func (o *Observer) setStatement(s hornbeamcroft.Statement) {
	u := &o.upstream
	s.Leaving = s.Leaving || u.Statement.Leaving
	u.Statement = s
	u.Stated = u.Stated || s != hornbeamcroft.Statement{}
	o.applyLeaving()
}

// applyLeaving marks the upstream as draining if it has stated that it leaves.
func (o *Observer) applyLeaving() {
	if o.upstream.Statement.Leaving && o.upstream.State == hornbeamcroft.MemberServing {
		o.upstream.State = hornbeamcroft.MemberDraining
	}
}

// statesLeaving reports whether the announcement is the first one of the start that has answered already that it leaves. That answer was
// taken for one of the start before under the same id, as this one was not known yet.
func (o *Observer) statesLeaving(now time.Duration, a Announcement) bool {
	u := o.upstream
	return u.Statement.Leaving && a.Instance == u.Instance && a.Born > u.Born && a.Born <= o.leavingAnswer.UnixMilli &&
		now-o.leavingAnswer.Monotonic <= lateHeartbeatTime
}
