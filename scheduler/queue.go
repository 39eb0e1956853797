package scheduler

import (
	"time"

	"hornbeamcroft"
)

// entry is a waiting call.
type entry struct {
	ticket  hornbeamcroft.Ticket
	arrived time.Duration
	key     time.Duration
}

// queue is a heap with the least key first. It implements heap.Interface.
type queue struct {
	entries []entry
	// removed is the entry that Pop took last.
	removed entry
}

func (q *queue) Len() int           { return len(q.entries) }
func (q *queue) Less(i, j int) bool { return q.entries[i].key < q.entries[j].key }
func (q *queue) Swap(i, j int)      { q.entries[i], q.entries[j] = q.entries[j], q.entries[i] }

// Push appends an entry.
func (q *queue) Push(x any) { q.entries = append(q.entries, x.(entry)) }

// Pop removes the last entry.
func (q *queue) Pop() any {
	last := len(q.entries) - 1
	q.removed = q.entries[last]
	q.entries = q.entries[:last]
	return q.removed
}

// before returns the number of entries that start before one with the key.
func (q *queue) before(key time.Duration) int {
	n := 0
	for i := range q.entries {
		if q.entries[i].key <= key {
			n++
		}
	}
	return n
}

func (q *queue) find(id uint64) int {
	for i := range q.entries {
		if q.entries[i].ticket.ID == id {
			return i
		}
	}
	return -1
}

// last returns the index of the entry with the greatest key.
func (q *queue) last() int {
	last := 0
	for i := range q.entries {
		if q.entries[i].key > q.entries[last].key {
			last = i
		}
	}
	return last
}
