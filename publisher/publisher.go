// Package publisher passes on a value that several goroutines change, so that an older value never follows a newer one.
package publisher

import "sync"

// Publisher passes on the newest value. Set the exported fields before the first Update. It is safe for concurrent use.
type Publisher[T any] struct {
	// Version returns the version of the present value, which rises with each change; above 0 for the first one.
	Version func() uint64
	// Load returns the present value.
	Load func() T
	// Publish receives the values one at a time, none older than the last. It must not call Update.
	Publish func(value T)

	mu sync.Mutex
	// published is the version of the last value that was passed on.
	published uint64
}

// Update passes on the present value unless that was done. When it returns, the value that was present at its start, or a
// newer one, has been passed on.
func (p *Publisher[T]) Update() {
	p.mu.Lock()
	defer p.mu.Unlock()
	version := p.Version()
	if version <= p.published {
		return
	}
	p.published = version
	p.Publish(p.Load()) // the value may be newer than version; it is then passed on again
}
