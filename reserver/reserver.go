// Package reserver limits the memory that all bodies, or all request heads, in a process hold together. Memory is reserved before
// or while bytes arrive, so that the limit holds whatever the other side sends.
package reserver

import (
	"math"
	"sync/atomic"
)

// Reserver limits the memory of all accounts. Set the exported fields before the first Open. It is safe for concurrent use.
type Reserver struct {
	// Limit is the maximum of all reservations in bytes; zero means no limit.
	Limit int64
	// Evict releases at least the given number of bytes from retained accounts, or nothing if they hold less, and returns the
	// number of bytes released. It is called when an account that is not retained finds no room. The caller of Reserve may hold
	// locks, which Evict must not take. Nil if no account is retained.
	Evict func(bytes int) int

	reserved atomic.Int64
	refused  atomic.Int64
}

// Account is the memory that one request, one connection or one table holds. It implements hornbeamcroft.Memory and
// hornbeamcroft.RetainedMemory.
type Account struct {
	reserver *Reserver
	reserved atomic.Int64
	retained bool
}

// Open returns an empty account. Close it when nothing of the request is held any more.
func (r *Reserver) Open() *Account { return &Account{reserver: r} }

// OpenRetained returns an empty account for memory that is held only while no other account needs it. Its reservations evict nothing,
// so that Evict and Reserve of the account may use the same lock, and do not count as refused.
func (r *Reserver) OpenRetained() *Account { return &Account{reserver: r, retained: true} }

// Reserve adds bytes to the account. It returns false and adds nothing if that would exceed the limit of the Reserver, even after what
// retained accounts hold was evicted.
func (a *Account) Reserve(bytes int) bool {
	r := a.reserver
	missing := r.take(int64(bytes))
	for missing > 0 && !a.retained && int64(bytes) <= r.Limit && r.Evict != nil {
		released := r.Evict(missing)
		// The room is looked for again even if nothing was released, because another account may just have evicted everything.
		if missing = r.take(int64(bytes)); released == 0 {
			break
		}
	}
	if missing > 0 {
		if !a.retained {
			r.refused.Add(1)
		}
		return false
	}
	a.reserved.Add(int64(bytes))
	return true
}

// take adds bytes to all reservations and returns 0, or adds nothing and returns how many bytes of room are missing.
func (r *Reserver) take(bytes int64) (missing int) {
	for {
		have := r.reserved.Load()
		if over := have + bytes - r.Limit; over > 0 && r.Limit > 0 {
			return int(over)
		}
		if r.reserved.CompareAndSwap(have, have+bytes) {
			return 0
		}
	}
}

// Release takes bytes from the account, but never more than it holds.
func (a *Account) Release(bytes int) {
	for {
		have := a.reserved.Load()
		n := min(have, int64(bytes))
		if a.reserved.CompareAndSwap(have, have-n) {
			a.reserver.reserved.Add(-n)
			return
		}
	}
}

// Reserved returns the bytes that the account holds.
func (a *Account) Reserved() int64 { return a.reserved.Load() }

// Free returns the number of bytes that could be reserved now without an eviction.
func (a *Account) Free() int {
	if a.reserver.Limit == 0 {
		return math.MaxInt
	}
	return int(max(a.reserver.Limit-a.reserver.reserved.Load(), 0))
}

// Close releases what the account holds.
func (a *Account) Close() { a.reserver.reserved.Add(-a.reserved.Swap(0)) }

// Reserved returns the bytes reserved by all accounts.
func (r *Reserver) Reserved() int64 { return r.reserved.Load() }

// Refused returns how many reservations were refused.
func (r *Reserver) Refused() int64 { return r.refused.Load() }
