// Package queuer holds the calls that wait for admission at one upstream, in the order in which they should run.
package queuer

import (
	"slices"
	"time"

	"hornbeamcroft"
)

// Entry is a waiting ticket.
type Entry struct {
	Ticket  hornbeamcroft.Ticket
	Arrived time.Duration

	serial uint64
}

// Queuer is a bounded wait queue, ordered by importance, then deeper calls first, then lower survival hash. It is not
// safe for concurrent use.
type Queuer struct {
	// MaxWait is the longest wait of an entry.
	MaxWait time.Duration

	// entries is sorted; the entry that runs next is the last.
	entries []Entry
	serial  uint64
}

// compare orders a before b if b should run first.
func compare(a, b Entry) int {
	switch {
	case a.Ticket.Importance != b.Ticket.Importance:
		return int(a.Ticket.Importance) - int(b.Ticket.Importance)
	case a.Ticket.Depth != b.Ticket.Depth:
		return a.Ticket.Depth - b.Ticket.Depth
	case a.Ticket.Hash != b.Ticket.Hash:
		return int(b.Ticket.Hash) - int(a.Ticket.Hash)
	case a.serial > b.serial:
		return -1
	}
	return 1
}

// Push adds a ticket. If the queue holds capacity entries, a more important arrival displaces the newest entry of the
// least importance; otherwise the arrival itself is returned as refused.
func (q *Queuer) Push(now time.Duration, t hornbeamcroft.Ticket, capacity int) (refused Entry, full bool) {
	q.serial++
	e := Entry{Ticket: t, Arrived: now, serial: q.serial}
	if len(q.entries) >= capacity {
		if len(q.entries) == 0 || q.entries[0].Ticket.Importance >= t.Importance {
			return e, true
		}
		refused, full = q.removeNewestLeast(), true
	}
	i, _ := slices.BinarySearchFunc(q.entries, e, compare)
	q.entries = slices.Insert(q.entries, i, e)
	return refused, full
}

func (q *Queuer) removeNewestLeast() Entry {
	newest, least := 0, q.entries[0].Ticket.Importance
	for i, e := range q.entries {
		if e.Ticket.Importance != least {
			break
		}
		if e.serial > q.entries[newest].serial {
			newest = i
		}
	}
	e := q.entries[newest]
	q.entries = slices.Delete(q.entries, newest, newest+1)
	return e
}

// Pop removes the entry that should run next.
func (q *Queuer) Pop() (Entry, bool) {
	last := len(q.entries) - 1
	if last < 0 {
		return Entry{}, false
	}
	e := q.entries[last]
	q.entries = q.entries[:last]
	return e, true
}

// Expire removes the entries that waited for MaxWait or whose deadline passed and appends them to dst.
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

// Cancel removes the ticket with the id and reports whether it waited.
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
