package deduper

import (
	"cmp"
	"math"

	"hornbeamcroft"
)

// callBytes is the estimated memory, in bytes, of an entry of Calls without the content of its answer: the record, its slot in the map and
// its element in the list. BenchmarkCallMemory compares the estimate with the measured memory.
const callBytes = 384

// Bytes returns the estimated memory of all entries and answers in bytes.
func (c *Calls) Bytes() int { return c.bytes }

// Evicted returns how many answers of upstreams were dropped before their retention time, or were not retained at all, for want of memory.
func (c *Calls) Evicted() int64 { return c.evicted }

// Evict drops the content of the oldest answers until it has released the given number of bytes, and returns the bytes released. It drops
// nothing if that would not release enough.
func (c *Calls) Evict(bytes int) int {
	if c.contentBytes < bytes {
		return 0
	}
	released := 0
	for released < bytes {
		released += c.evictOldest()
	}
	return released
}

// evictOldest drops the content of the oldest answer, keeps its facts, and returns the bytes released; 0 if no content is held.
func (c *Calls) evictOldest() int {
	front := c.answers.Front()
	if front == nil {
		return 0
	}
	e := front.Value.(*callRecord)
	c.countEvicted(e.answer)
	e.answer = e.answer.Facts()
	return c.releaseContent(e)
}

// countEvicted counts an answer that loses its content, if it is one of an upstream. Other answers lose nothing that their sender needs.
func (c *Calls) countEvicted(a hornbeamcroft.Answer) {
	if a.Code.Claim() == hornbeamcroft.ClaimRan {
		c.evicted++
	}
}

// addEntry adds an entry, for whose memory it evicts answers if needed. It returns false if the table is full.
func (c *Calls) addEntry(s *senderCalls, id uint64, e *callRecord) bool {
	if c.entries >= cmp.Or(c.MaxCalls, defaultMaxCalls) || !c.reserve(callBytes) {
		return false
	}
	c.entries++
	s.calls[id] = e
	return true
}

// removeEntry removes an entry with its answer.
func (c *Calls) removeEntry(s *senderCalls, id uint64, e *callRecord) {
	delete(s.calls, id)
	c.entries--
	c.releaseContent(e)
	c.release(callBytes)
}

// setAnswer records the answer of an entry, or its facts if there is no memory for its content.
func (c *Calls) setAnswer(e *callRecord, a hornbeamcroft.Answer) {
	n := a.ContentBytes()
	if !c.reserve(n) {
		c.countEvicted(a)
		e.answer = a.Facts()
		return
	}
	e.answer = a
	if n > 0 {
		e.contentBytes, e.element = n, c.answers.PushBack(e)
		c.contentBytes += n
	}
}

// releaseContent releases the memory of the entry's content and returns its size. The caller drops the content or the entry.
func (c *Calls) releaseContent(e *callRecord) int {
	n := e.contentBytes
	if e.element != nil {
		c.answers.Remove(e.element)
		e.element, e.contentBytes = nil, 0
		c.contentBytes -= n
		c.release(n)
	}
	return n
}

// reserve takes memory for n bytes and evicts the oldest answers as far as needed. It returns false, and evicts nothing, if n bytes do not
// fit even without any answer.
func (c *Calls) reserve(n int) bool {
	for n-c.contentBytes <= c.free() {
		if n <= c.free() && (c.Memory == nil || c.Memory.Reserve(n)) {
			c.bytes += n
			return true
		}
		if c.evictOldest() == 0 {
			return false // a request in flight has taken the room meanwhile
		}
	}
	return false
}

// release gives n bytes back.
func (c *Calls) release(n int) {
	c.bytes -= n
	if c.Memory != nil {
		c.Memory.Release(n)
	}
}

// free returns the number of bytes that fit without an eviction.
func (c *Calls) free() int {
	free := math.MaxInt
	if c.Memory != nil {
		free = c.Memory.Free()
	}
	return min(free, cmp.Or(c.MaxBytes, defaultMaxCallBytes)-c.bytes)
}
