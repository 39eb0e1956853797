package owner

import (
	"time"

	"hornbeamcroft"
)

// StoreRequest is a read, or a write by compare-and-swap.
type StoreRequest struct {
	// ID is passed back in the result.
	ID uint64
	// Key is the key to read or write.
	Key string
	// Write is true for a compare-and-swap of Value against ModRevision.
	Write       bool
	ModRevision int64
	Value       []byte
}

// StoreResult is the outcome of a StoreRequest.
type StoreResult struct {
	ID uint64
	// Err is the error of the call. A write that failed may have taken effect.
	Err error
	// Entry is the result of a read.
	Entry hornbeamcroft.Entry
	// Txn is the result of a write.
	Txn hornbeamcroft.TxnResult
}

// reads tracks store requests. At most one read and one write are awaited; an older outcome is ignored.
type reads struct {
	id          uint64
	sentAt      time.Duration
	waiting     bool
	ever        bool
	succeeded   bool
	succeededAt time.Duration // when the last successful read was sent
	writeID     uint64
	writeAt     time.Duration
	writing     Epoch
}

// tickReads asks for a read three times within the permit time, so that one lost read costs no permit.
func (o *Owner) tickReads(now time.Duration) Output {
	if o.reads.writeID != 0 && now-o.reads.writeAt > o.PermitTime {
		o.reads.writeID = 0 // the outcome is lost; the write may still take effect, and the next read shows it
	}
	if o.reads.ever && now-o.reads.sentAt < o.permitTime()/3 {
		return Output{}
	}
	return o.read(now)
}

func (o *Owner) read(now time.Duration) Output {
	o.nextID++
	o.reads.id, o.reads.sentAt, o.reads.waiting, o.reads.ever = o.nextID, now, true, true
	return Output{Store: []StoreRequest{{ID: o.nextID, Key: o.Key()}}}
}

func (o *Owner) write(now time.Duration, e Epoch) Output {
	o.nextID++
	o.reads.writeID, o.reads.writeAt, o.reads.writing = o.nextID, now, e
	return Output{Store: []StoreRequest{{
		ID: o.nextID, Key: o.Key(), Write: true, ModRevision: o.modRevision, Value: e.Encode(),
	}}}
}

// HandleStore takes the outcome of a store request.
func (o *Owner) HandleStore(now time.Duration, r StoreResult) Output {
	o.start(now)
	switch {
	case o.reads.waiting && r.ID == o.reads.id:
		o.reads.waiting = false
		if r.Err != nil {
			return Output{}
		}
		return o.ObserveRead(now, o.reads.sentAt, 0, r.Entry)
	case r.ID == o.reads.writeID && r.ID != 0:
		o.reads.writeID = 0
		if r.Err != nil || !r.Txn.Succeeded {
			return o.read(now) // a failed write may have taken effect, a lost race shows another's epoch
		}
		out := o.adopt(now, o.reads.writing)
		if o.epoch.Number == o.reads.writing.Number && o.epoch.Settled == o.reads.writing.Settled {
			o.modRevision = r.Txn.Revision
		}
		out.add(o.tickTakeover(now))
		return out
	}
	return Output{}
}

// ObserveRead takes an epoch that was read from the store, by this node or by a relay. The node asked at sentAt, and
// the relay reported that it sent its read age before it answered (zero for an own read). The permit counts from
// sentAt - age, which is not later than the read.
func (o *Owner) ObserveRead(now, sentAt, age time.Duration, entry hornbeamcroft.Entry) Output {
	o.start(now)
	if o.relax.clockedRelay {
		age = 0
	}
	if sentAt-age < o.startedAt {
		o.reads.ever = false // read again soon: what a relay read before this node's start proves nothing
	} else {
		o.checked = true
	}
	if entry.ModRevision == 0 {
		return o.observeNothing(now, sentAt, age)
	}
	e, err := DecodeEpoch(entry.Value)
	if err != nil || e.Service != o.Service {
		return Output{}
	}
	out := o.adopt(now, e)
	if e.Number < o.epoch.Number {
		o.behind = sentAt-age > o.learnedAt // an older read that arrives late tells nothing
		out.StoreBehind = o.behind
		return out
	}
	o.behind = false
	if e.Settled == o.epoch.Settled {
		o.modRevision = entry.ModRevision
	}
	since := sentAt - age
	if since < o.startedAt {
		return out // a relay's read from before this node's start proves nothing about what the node forgot
	}
	o.dropGaps()
	o.recovering = false
	o.reads.succeeded, o.reads.succeededAt = true, max(o.reads.succeededAt, since)
	o.grant(since, PermitStore)
	return out
}

// observeNothing handles a store without an epoch: either the service is new, or the store lost its content.
func (o *Owner) observeNothing(now, sentAt, age time.Duration) Output {
	if o.epoch.Number > 0 {
		o.behind = true
		return Output{StoreBehind: true}
	}
	if !o.drive || len(o.target) == 0 || o.reads.writeID != 0 || sentAt-age < o.startedAt {
		return Output{}
	}
	first := Epoch{Service: o.Service}
	return o.write(now, first.next(o.target, o.Self, o.PermitTime))
}
