package observer

import "hornbeamcroft"

// maxLeftInstances is the maximum number of instances of which the observer knows that they have left.
const maxLeftInstances = 64

// ApplyDeparture applies a notification that an instance leaves. The time born is zero if the notification does not name
// the start; it is then about the present start of the instance. A start that is not known yet is known from then on, as one that has left,
// if it is later than the known one: its first heartbeat may be late.
func (o *Observer) ApplyDeparture(instance string, born int64) Outcome {
	known := instance == o.upstream.Instance
	if known && born == 0 {
		born = o.upstream.Born
	}
	o.markLeft(instance, born)
	switch {
	case o.Ended(instance, born):
		if known {
			return OutcomeStale
		}
		return OutcomeForeign
	case o.upstream.Instance == "" || instance == o.answered || !o.onlyProbed && born > o.upstream.Born:
		o.adoptLeft(instance, born, max(o.upstream.Slots, 1))
		return OutcomeChanged
	case !known:
		return OutcomeForeign
	case o.upstream.State == hornbeamcroft.MemberLeft && (!o.onlyProbed || born == 0):
		return OutcomeUnchanged
	}
	o.leave(born)
	return OutcomeChanged
}

// Ended reports whether a start is known to have ended, because a later one is known: by its heartbeat, or because an earlier process of
// this node has used a later start of the instance.
func (o *Observer) Ended(instance string, born int64) bool {
	if born == 0 || instance == o.answered {
		return false
	}
	return !o.onlyProbed && born < o.upstream.Born || o.servedAfter(instance, born)
}

// applyLeavingHeartbeat applies a heartbeat that says that its start leaves, whatever else it says: that is never taken back, so that it
// counts if a later heartbeat has overtaken it, and for an upstream of another service, which the next process of this node may have to know.
func (o *Observer) applyLeavingHeartbeat(a Announcement) Outcome {
	if a.Service != o.Service {
		return o.ApplyDeparture(a.Instance, a.Born)
	}
	o.markLeft(a.Instance, a.Born)
	if a.Instance != o.upstream.Instance || a.Born != o.upstream.Born || !o.upstream.Usable() {
		return OutcomeStale
	}
	o.upstream.State = hornbeamcroft.MemberDraining
	return OutcomeChanged
}

// ApplyLeft applies that a start of the upstream has announced that it leaves, of which the store or another node knows. It
// reports whether that changed the state. Slots is the number of slots of the start.
func (o *Observer) ApplyLeft(instance string, born int64, slots int) bool {
	if instance == "" || born <= 0 {
		return false
	}
	o.markLeft(instance, born)
	switch {
	case o.upstream.Instance == "":
		o.adoptLeft(instance, born, max(slots, 1))
		return true
	case instance != o.upstream.Instance || !o.onlyProbed && o.upstream.Born > born:
		return false
	case o.onlyProbed && o.upstream.Usable() && o.servedAfter(instance, born):
		return false
	case !o.onlyProbed && !o.upstream.Usable():
		return false
	}
	o.leave(born)
	return true
}

// adoptLeft makes a start that has left the known one. A later start is then recognized as such.
func (o *Observer) adoptLeft(instance string, born int64, slots int) {
	o.upstream = Upstream{Instance: instance, Slots: slots}
	o.contender, o.answered = contender{}, ""
	o.leave(born)
}

// leave marks the known start, which began at the time born, as left. If born is zero, no heartbeat can be told from those of
// this start, so the instance is not used again.
func (o *Observer) leave(born int64) {
	o.upstream.Born, o.upstream.State = born, hornbeamcroft.MemberLeft
	o.onlyProbed = born == 0
}

// markLeft records that the start of an instance at the time born, and all earlier ones, have announced that they leave. It
// does nothing if born is zero.
func (o *Observer) markLeft(instance string, born int64) {
	if born == 0 {
		return
	}
	if o.left == nil {
		o.left = make(map[string]int64)
	}
	o.left[instance] = max(o.left[instance], born)
	if len(o.left) > maxLeftInstances {
		o.dropEarliestLeft()
	}
}

// dropEarliestLeft drops the instance that started first of those that have left.
func (o *Observer) dropEarliestLeft() {
	earliest, found := "", false
	for instance, born := range o.left {
		if !found || born < o.left[earliest] {
			earliest, found = instance, true
		}
	}
	delete(o.left, earliest)
}

// hasLeft reports whether the start of an instance at the time born has announced that it leaves.
func (o *Observer) hasLeft(instance string, born int64) bool {
	last, ok := o.left[instance]
	return ok && born <= last
}
