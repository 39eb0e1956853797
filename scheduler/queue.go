package scheduler

import (
	"time"

	"hornbeamcroft"
)

// entry is a waiting call. Its key, the result of startPriority, orders the queue.
type entry struct {
	ticket  hornbeamcroft.Ticket
	arrived time.Duration
	key     time.Duration
}

// queue is a min-heap ordered by key. It implements heap.Interface.
type queue struct {
	entries []entry
	// removed is the entry that the latest Pop removed.
	removed entry
}

func (q *queue) Len() int           { return len(q.entries) }
func (q *queue) Less(i, j int) bool { return q.entries[i].key < q.entries[j].key }
func (q *queue) Swap(i, j int)      { q.entries[i], q.entries[j] = q.entries[j], q.entries[i] }

// Push implements heap.Interface. x must be an entry.
func (q *queue) Push(x any) { q.entries = append(q.entries, x.(entry)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := len(q.entries) - 1
	q.removed = q.entries[last]
	q.entries = q.entries[:last]
	return q.removed
}

// countBefore returns the number of entries that start before a new one with the key.
func (q *queue) countBefore(key time.Duration) int {
	n := 0
	for i := range q.entries {
		if q.entries[i].key <= key {
			n++
		}
	}
	return n
}

// indexOf returns the index of the entry with the ticket id, or -1.
func (q *queue) indexOf(id uint64) int {
	for i := range q.entries {
		if q.entries[i].ticket.ID == id {
			return i
		}
	}
	return -1
}

// greatestKeyIndex returns the index of the entry with the greatest key.
func (q *queue) greatestKeyIndex() int {
	greatest := 0
	for i := range q.entries {
		if q.entries[i].key > q.entries[greatest].key {
			greatest = i
		}
	}
	return greatest
}
