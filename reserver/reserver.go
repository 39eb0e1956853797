// Package reserver limits the memory that all bodies, or all request heads, in a process hold together. Memory is reserved before
// or while bytes arrive, so that the limit holds whatever the other side sends.
package reserver

import "sync/atomic"

// Reserver limits the memory of all accounts. Set the exported fields before the first Open. It is safe for concurrent use.
type Reserver struct {
	// Limit is the maximum of all reservations in bytes; zero means no limit.
	Limit int64

	reserved atomic.Int64
	refused  atomic.Int64
}

// Account is the memory that one request or one connection holds. It implements hornbeamcroft.Memory.
type Account struct {
	reserver *Reserver
	reserved atomic.Int64
}

// Open returns an empty account. Close it when nothing of the request is held any more.
func (r *Reserver) Open() *Account { return &Account{reserver: r} }

// Reserve adds bytes to the account. It returns false and adds nothing if that would exceed the limit of the Reserver.
func (a *Account) Reserve(bytes int) bool {
	r := a.reserver
	if r.reserved.Add(int64(bytes)) > r.Limit && r.Limit > 0 {
		r.reserved.Add(int64(-bytes))
		r.refused.Add(1)
		return false
	}
	a.reserved.Add(int64(bytes))
	return true
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

// Close releases what the account holds.
func (a *Account) Close() { a.reserver.reserved.Add(-a.reserved.Swap(0)) }

// Reserved returns the bytes reserved by all accounts.
func (r *Reserver) Reserved() int64 { return r.reserved.Load() }

// Refused returns how many reservations were refused.
func (r *Reserver) Refused() int64 { return r.refused.Load() }
