// Package queuer implements the queue of the calls that wait for admission at one upstream.
package queuer

import (
	"slices"
	"time"

	"hornbeamcroft"
)

// Entry is a waiting ticket and its time of arrival.
type Entry struct {
	Ticket  hornbeamcroft.Ticket
	Arrived time.Duration

	// sequence is the position of the entry in the order of arrival.
	sequence uint64
}

// Queuer is a bounded queue, ordered by higher importance, then greater depth of the call, then lower survival hash,
// then earlier arrival. It is not safe for concurrent use.
type Queuer struct {
	// MaxWait is the longest wait of an entry.
	MaxWait time.Duration

	// entries is sorted by compare; the last entry runs next.
	entries  []Entry
	sequence uint64
}

// compare orders a before b, with a negative result, if b should run first.
func compare(a, b Entry) int {
	switch {
	case a.Ticket.Importance != b.Ticket.Importance:
		return int(a.Ticket.Importance) - int(b.Ticket.Importance)
	case a.Ticket.Depth != b.Ticket.Depth:
		return a.Ticket.Depth - b.Ticket.Depth
	case a.Ticket.Hash != b.Ticket.Hash:
		return int(b.Ticket.Hash) - int(a.Ticket.Hash)
	case a.sequence > b.sequence:
		return -1
	}
	return 1
}

// Push adds a ticket. If the queue already holds capacity entries, Push returns the entry that is refused, and true:
// a more important ticket displaces the newest entry of the lowest importance, any other ticket is refused itself.
func (q *Queuer) Push(now time.Duration, t hornbeamcroft.Ticket, capacity int) (refused Entry, full bool) {
	q.sequence++
	e := Entry{Ticket: t, Arrived: now, sequence: q.sequence}
	if len(q.entries) >= capacity {
		if len(q.entries) == 0 || q.entries[0].Ticket.Importance >= t.Importance {
			return e, true
		}
		refused, full = q.removeNewestOfLowest(), true
	}
	i, _ := slices.BinarySearchFunc(q.entries, e, compare)
	q.entries = slices.Insert(q.entries, i, e)
	return refused, full
}

// removeNewestOfLowest removes the newest of the entries of the lowest importance. The queue must not be empty.
func (q *Queuer) removeNewestOfLowest() Entry {
	newest, lowest := 0, q.entries[0].Ticket.Importance
	for i, e := range q.entries {
		if e.Ticket.Importance != lowest {
			break
		}
		if e.sequence > q.entries[newest].sequence {
			newest = i
		}
	}
	e := q.entries[newest]
	q.entries = slices.Delete(q.entries, newest, newest+1)
	return e
}

// Pop removes and returns the entry that should run next, or returns false if the queue is empty.
func (q *Queuer) Pop() (Entry, bool) {
	last := len(q.entries) - 1
	if last < 0 {
		return Entry{}, false
	}
	e := q.entries[last]
	q.entries = q.entries[:last]
	return e, true
}

// Expire removes the entries that have waited for MaxWait or whose deadline has passed, and appends them to dst.
func (q *Queuer) Expire(now time.Duration, dst []Entry) []Entry {
	q.entries = slices.DeleteFunc(q.entries, func(e Entry) bool {
		expired := now-e.Arrived >= q.MaxWait || now >= e.Ticket.Deadline
		if expired {
			dst = append(dst, e)
		}
		return expired
	})
	return dst
}

// Cancel removes the ticket with the given id and reports whether it was waiting.
func (q *Queuer) Cancel(id uint64) bool {
	i := slices.IndexFunc(q.entries, func(e Entry) bool { return e.Ticket.ID == id })
	if i < 0 {
		return false
	}
	q.entries = slices.Delete(q.entries, i, i+1)
	return true
}

// Len returns the number of waiting entries.
func (q *Queuer) Len() int { return len(q.entries) }
