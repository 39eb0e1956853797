package observer

import "hornbeamcroft"

// ApplyStatement applies what an instance stated about itself in an answer, and reports whether that changed the state. The
// time born is that of the start to which the request was sent; zero if it was not known. A start that has stated once that
// it leaves is never used again.
func (o *Observer) ApplyStatement(instance string, born int64, s hornbeamcroft.Statement) bool {
	if instance != o.upstream.Instance || born != 0 && born != o.upstream.Born {
		return false
	}
	before := o.upstream
	s.Leaving = s.Leaving || before.Statement.Leaving
	o.upstream.Statement = s
	o.applyLeaving()
	return o.upstream != before
}

// applyLeaving marks the upstream as draining if it has stated that it leaves, whatever its announcements say.
func (o *Observer) applyLeaving() {
	if o.upstream.Statement.Leaving && o.upstream.State == hornbeamcroft.MemberServing {
		o.upstream.State = hornbeamcroft.MemberDraining
	}
}
