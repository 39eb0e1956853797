package scenarios

import (
	"container/heap"
	"time"
)

// loop is an event loop on a virtual clock. Events at the same time run in the order in which they were added.
type loop struct {
	now    time.Duration
	serial int
	queue  events
}

// event is a function that runs at the given time.
type event struct {
	at     time.Duration
	serial int
	fn     func()
}

// events implements heap.Interface.
type events []event

func (q events) Len() int { return len(q) }

func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].serial < q[j].serial)
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }

func (q *events) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// after adds an event that runs after d.
func (l *loop) after(d time.Duration, fn func()) {
	l.serial++
	heap.Push(&l.queue, event{at: l.now + d, serial: l.serial, fn: fn})
}

// run runs the events up to the given time.
func (l *loop) run(end time.Duration) {
	for l.queue.Len() > 0 && l.queue[0].at <= end {
		e := heap.Pop(&l.queue).(event)
		l.now = e.at
		e.fn()
	}
}
