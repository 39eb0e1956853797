package deduper

import (
	"time"
)

// Tick removes expired records.
func (d *Deduper) Tick(now time.Duration) {
	d.initialize()
	d.expireQueue(now, &d.refusedQueue)
	d.expireQueue(now, &d.finishedQueue)
}

// expireQueue removes the expired records at the head of q, and moves records that changed state since they were queued
// to the queue for their state.
func (d *Deduper) expireQueue(now time.Duration, q *queue) {
	for r := q.peek(); r != nil; r = q.peek() {
		misplaced := r.state == StateRefused && q != &d.refusedQueue || r.state != StateRefused && q == &d.refusedQueue
		if !misplaced && r.state != StateRunning && r.expiresAt > now {
			return
		}
		q.pop()
		r.queued = false
		switch {
		case r.state == StateRunning: // Finish queues the record again
		case misplaced && q == &d.refusedQueue:
			d.enqueue(&d.finishedQueue, r)
		case misplaced:
			d.enqueue(&d.refusedQueue, r)
		default:
			d.remove(r)
		}
	}
}
