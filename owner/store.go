package owner

import (
	"time"

	"hornbeamcroft"
)

// StoreRequest is a read of a store key, or a write by compare-and-swap.
type StoreRequest struct {
	// ID is repeated in the StoreResult.
	ID  uint64
	Key string
	// Write is true for a write of Value that takes effect only if the key still has ModRevision.
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

// storeRequests tracks the latest read and the latest write of the store. The outcomes of earlier ones are ignored.
type storeRequests struct {
	readID          uint64
	readSentAt      time.Duration
	readPending     bool
	readRequested   bool
	readSucceeded   bool
	readSucceededAt time.Duration // when the latest successful read was sent
	writeID         uint64        // zero if no write is pending
	writeSentAt     time.Duration
	writeEpoch      Epoch
}

// tickStore requests a read of the store three times within the permit time, so that the permit does not lapse if one
// read is lost.
func (o *Owner) tickStore(now time.Duration) Output {
	if o.requests.writeID != 0 && now-o.requests.writeSentAt > o.PermitTime {
		o.requests.writeID = 0 // stop waiting; if the write takes effect after all, the next read shows it
	}
	if o.requests.readRequested && now-o.requests.readSentAt < o.permitTime()/3 {
		return Output{}
	}
	return o.requestRead(now)
}

// requestRead asks for a read of the epoch. It replaces a read that is still pending.
func (o *Owner) requestRead(now time.Duration) Output {
	o.nextID++
	o.requests.readID, o.requests.readSentAt, o.requests.readPending, o.requests.readRequested = o.nextID, now, true, true
	return Output{Store: []StoreRequest{{ID: o.nextID, Key: o.Key()}}}
}

// requestWrite asks for a write of e that takes effect only if the stored epoch has not changed since it was read.
func (o *Owner) requestWrite(now time.Duration, e Epoch) Output {
	o.nextID++
	o.requests.writeID, o.requests.writeSentAt, o.requests.writeEpoch = o.nextID, now, e
	return Output{Store: []StoreRequest{{
		ID: o.nextID, Key: o.Key(), Write: true, ModRevision: o.modRevision, Value: e.Encode(),
	}}}
}

// HandleStore handles the outcome of a store request.
func (o *Owner) HandleStore(now time.Duration, r StoreResult) Output {
	o.startOnce(now)
	switch {
	case o.requests.readPending && r.ID == o.requests.readID:
		o.requests.readPending = false
		if r.Err != nil {
			return Output{}
		}
		return o.ObserveRead(now, o.requests.readSentAt, 0, r.Entry)
	case r.ID == o.requests.writeID && r.ID != 0:
		o.requests.writeID = 0
		if r.Err != nil || !r.Txn.Succeeded {
			return o.requestRead(now) // read what is stored: a failed write may have taken effect, or another member wrote first
		}
		out := o.adopt(now, o.requests.writeEpoch)
		if o.epoch.Number == o.requests.writeEpoch.Number && o.epoch.Settled == o.requests.writeEpoch.Settled {
			o.modRevision = r.Txn.Revision
		}
		out.add(o.tickTakeover(now))
		return out
	}
	return Output{}
}

// ObserveRead handles the entry of an epoch that was read from the store, by this node or by a relay. The node sent its
// request at sentAt. Age is the time between the relay's request to the store and its answer to this node; it is zero
// for a read by this node. The permit counts from sentAt - age, which is not later than the read.
func (o *Owner) ObserveRead(now, sentAt, age time.Duration, entry hornbeamcroft.Entry) Output {
	o.startOnce(now)
	if o.mutation.ignoreRelayAge {
		age = 0
	}
	if sentAt-age < o.startedAt {
		// A relay's read from before this node's start does not end its recovery, so read again at the next tick.
		o.requests.readRequested = false
	} else {
		o.storeRead = true
	}
	if entry.ModRevision == 0 {
		return o.observeMissingEpoch(now, sentAt, age)
	}
	e, err := DecodeEpoch(entry.Value)
	if err != nil || e.Service != o.Service {
		return Output{}
	}
	out := o.adopt(now, e)
	if e.Number < o.epoch.Number {
		o.storeBehind = sentAt-age > o.learnedAt // a read sent before the epoch was learned may be older
		out.StoreBehind = o.storeBehind
		return out
	}
	o.storeBehind = false
	if e.Settled == o.epoch.Settled {
		o.modRevision = entry.ModRevision
	}
	readAt := sentAt - age
	if readAt < o.startedAt {
		return out // the node may have acknowledged a newer epoch after the relay's read, before its restart
	}
	o.dropUnknownOrigins()
	o.recovering = false
	o.requests.readSucceeded, o.requests.readSucceededAt = true, max(o.requests.readSucceededAt, readAt)
	o.extendPermit(readAt, PermitStore)
	return out
}

// observeMissingEpoch handles a read that found no epoch: either the service is new, or the store lost its content. For
// a new service, a node that may propose writes the first epoch.
func (o *Owner) observeMissingEpoch(now, sentAt, age time.Duration) Output {
	if o.epoch.Number > 0 {
		o.storeBehind = true
		return Output{StoreBehind: true}
	}
	if !o.mayPropose || len(o.targetRoster) == 0 || o.requests.writeID != 0 || sentAt-age < o.startedAt {
		return Output{}
	}
	none := Epoch{Service: o.Service}
	return o.requestWrite(now, none.next(o.targetRoster, o.Self, o.PermitTime))
}
