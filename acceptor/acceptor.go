// Package acceptor serves HTTP connections of callers. It bounds their number and the memory of their heads, closes idle and slow
// connections by limits that may change while it runs, and shuts down without cutting off requests in flight.
package acceptor

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"hornbeamcroft/finisher"
	"hornbeamcroft/pipeliner"
	"hornbeamcroft/reserver"
)

const (
	// maxRejections is the number of rejections in a row on one connection after which it is slowed down.
	maxRejections = 32
	// maxHeadBytes is the maximum size of a request head in bytes, independent of the configuration.
	maxHeadBytes = 256 << 10
	// unconfiguredHeadBytes is the maximum size of a head while there is no configuration.
	unconfiguredHeadBytes = 64 << 10
	// headSlack is how much longer a head may be than the configured limit. The limit does not count the method, the version, the
	// host and spaces; the handler applies it exactly.
	headSlack = 4 << 10
	// fieldCost is the least that a field counts in the configured limit: a name of one byte and its separators.
	fieldCost = 5
	// maxAheadBytes is the memory of the heads of the requests of a connection that run at the same time.
	maxAheadBytes = 64 << 10
	// readAheadDivisor divides the memory for heads: beyond that part, none is read behind a request that runs.
	readAheadDivisor = 2
)

// Limits are the configured limits of connections. Zero means that the configuration gives no limit.
type Limits struct {
	// Configured is false while there is no configuration.
	Configured bool
	// HeadBytes is the maximum size of a head, HeadTime the maximum time from its first byte to its last, IdleTime the maximum
	// time without a request.
	HeadBytes          int
	HeadTime, IdleTime time.Duration
}

// Acceptor serves HTTP on one address. Set the exported fields before Open.
type Acceptor struct {
	Address string
	Handler http.Handler
	// Limits returns the configured limits.
	Limits func() Limits
	// RunsAhead reports whether a request without a body may run before those ahead of it on its connection are answered.
	RunsAhead func(r *http.Request) bool
	// MaxAhead bounds the number of requests of a connection that run at the same time.
	MaxAhead int
	// Heads limits the memory of the heads of all connections, Ahead that of the requests that run ahead.
	Heads, Ahead *reserver.Reserver
	// MaxConns bounds the number of connections; zero means no limit.
	MaxConns int
	// OnPanic is called with what the handler has panicked with; it may be nil.
	OnPanic func(v any)

	rules    pipeliner.Rules
	listener net.Listener
	inFlight atomic.Int64
	// Evicted counts the connections that were closed for others, Refused those that were closed because no other could be.
	// Late counts those closed because a head, an answer or a next request took too long.
	Evicted, Refused, Late atomic.Int64

	stopping atomic.Bool
	// ended is closed when no connection is accepted any more.
	ended chan struct{}
	mu    sync.Mutex
	conns map[*pipeliner.Pipeliner]*accounts
	// victims are the connections to close next when there are too many, the first at the end.
	victims []victim
	// searchedAt is when a search last found no connection to close.
	searchedAt time.Time
	// holders are the connections to close next when there is no memory for a head, the first at the end.
	holders []victim
}

// accounts are the accounts of one connection.
type accounts struct{ heads, ahead *reserver.Account }

// Open starts to listen and serves in the background. If the server fails later, fail is called with the error.
func (a *Acceptor) Open(fail func(error)) error {
	cfg := net.ListenConfig{}
	cfg.SetMultipathTCP(false) // a socket with Multipath TCP cannot have the filter of a planned stop
	l, err := cfg.Listen(context.Background(), "tcp", a.Address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	a.listener = l
	a.ended = make(chan struct{})
	a.conns = make(map[*pipeliner.Pipeliner]*accounts)
	a.rules = pipeliner.Rules{
		Handler: http.HandlerFunc(a.serve), MaxHeadBytes: a.maxHeadBytes, MaxFields: (maxHeadBytes + headSlack) / fieldCost,
		RunsAhead: a.RunsAhead, MaxAhead: a.MaxAhead, MaxAheadBytes: maxAheadBytes, MaxRejections: maxRejections,
		MakeRoom: a.makeRoom, MayReadAhead: a.mayReadAhead, OnEnd: a.remove, OnPanic: a.OnPanic,
	}
	go func() {
		defer close(a.ended)
		if err := a.accept(); !a.stopping.Load() {
			fail(errors.Wrap(err, "serve "+a.Address))
		}
	}()
	return nil
}

// maxHeadBytes returns the maximum size of a head.
func (a *Acceptor) maxHeadBytes() int {
	l := a.Limits()
	switch {
	case !l.Configured:
		return unconfiguredHeadBytes
	case l.HeadBytes <= 0:
		return maxHeadBytes
	}
	return min(l.HeadBytes+headSlack, maxHeadBytes)
}

func (a *Acceptor) serve(w http.ResponseWriter, r *http.Request) {
	a.inFlight.Add(1)
	defer a.inFlight.Add(-1)
	a.Handler.ServeHTTP(w, r)
}

// InFlight returns the number of requests in flight.
func (a *Acceptor) InFlight() int { return int(a.inFlight.Load()) }

// Connections returns the number of open connections.
func (a *Acceptor) Connections() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.conns)
}

// acceptRetryTime is the time after which accepting is tried again when the process has no descriptor left.
const acceptRetryTime = 5 * time.Millisecond

// accept serves connections until the listener fails or is closed.
func (a *Acceptor) accept() error {
	for {
		c, err := a.listener.Accept()
		if err != nil {
			if isTemporary(err) {
				a.evict()
				time.Sleep(acceptRetryTime)
				continue
			}
			return err
		}
		if a.hasRoom() {
			a.add(c)
			continue
		}
		a.Refused.Add(1)
		_ = c.Close()
	}
}

// isTemporary reports whether accepting may succeed later.
func isTemporary(err error) bool {
	t, ok := err.(interface{ Temporary() bool })
	return ok && t.Temporary()
}

// add serves a connection in the background.
func (a *Acceptor) add(c net.Conn) {
	acc := &accounts{heads: a.Heads.Open(), ahead: a.Ahead.Open()}
	p := &pipeliner.Pipeliner{Rules: &a.rules, Conn: c, Memory: acc.heads, Ahead: acc.ahead}
	p.Init()
	a.mu.Lock()
	a.conns[p] = acc
	a.mu.Unlock()
	go p.Serve()
}

// remove forgets a connection that has ended.
func (a *Acceptor) remove(p *pipeliner.Pipeliner) {
	a.mu.Lock()
	defer a.mu.Unlock()
	acc := a.conns[p]
	delete(a.conns, p)
	acc.heads.Close()
	acc.ahead.Close()
}

// each calls fn with every open connection and returns their number.
func (a *Acceptor) each(fn func(p *pipeliner.Pipeliner)) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	for p := range a.conns {
		fn(p)
	}
	return len(a.conns)
}

// Shutdown takes the connections that callers have opened, stops listening and returns when all requests are answered and all
// connections are closed. When ctx ends, it cuts off the requests that are left and returns the error of ctx. The handler should
// set "Connection: close" meanwhile.
func (a *Acceptor) Shutdown(ctx context.Context) error {
	a.stopping.Store(true)
	finisher.CloseListener(ctx, a.listener)
	select { // conns holds every accepted connection once accept has returned
	case <-a.ended:
	case <-ctx.Done():
	}
	a.each((*pipeliner.Pipeliner).CloseSoon) // the handler may have set the header of an answer before the stop
	t := time.NewTicker(stopPollInterval)
	defer t.Stop()
	for a.each(closeQuiet) > 0 {
		select {
		case <-ctx.Done():
			a.each(func(p *pipeliner.Pipeliner) { p.CloseIf(func(pipeliner.State) bool { return true }) })
			return ctx.Err()
		case <-t.C:
		}
	}
	return nil
}
