package agent

import (
	"cmp"
	"math"
	"net/http"
	"runtime/debug"
	"time"

	"golang.org/x/sys/unix"

	"hornbeamcroft/acceptor"
	"hornbeamcroft/reserver"
)

const (
	// headMemoryDivisor and aheadMemoryDivisor divide the memory limit: the heads of all callers' connections may take an eighth of
	// it, and requests that run beside earlier ones of their connection a sixteenth.
	headMemoryDivisor  = 8
	aheadMemoryDivisor = 16
	// connectionBytes is what a connection takes without a request: its goroutine, its buffer and its records.
	connectionBytes = 12 << 10
	// connectionMemoryDivisor divides the memory limit: callers' connections may take a quarter of it.
	connectionMemoryDivisor = 4
)

// connectionShares are the numbers of connections that the listening sockets accept.
type connectionShares struct {
	// ingress bounds those of callers, links the links that other nodes open, and handshakes those that are not links yet.
	ingress, links, handshakes int
	// internal bounds those to each of the other addresses.
	internal int
}

// newConnectionShares divides the descriptors of the process. About a sixth of them stays for the upstream, links to other nodes, the
// store and files.
func newConnectionShares(descriptors, memoryMB int) connectionShares {
	byMemory := memoryMB << 20 / connectionMemoryDivisor / connectionBytes
	return connectionShares{
		ingress: min(descriptors*5/8, byMemory), links: descriptors / 6,
		handshakes: min(max(16, descriptors/16), 256), internal: min(max(8, descriptors/64), 64),
	}
}

// descriptorLimit returns how many descriptors the process may have open.
func descriptorLimit() int {
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err != nil || l.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(l.Cur)
}

// newAcceptor returns the server for callers.
func (a *Agent) newAcceptor() *acceptor.Acceptor {
	cfg := a.Settings.Agent
	memory := int64(cfg.MemoryMB) << 20
	return &acceptor.Acceptor{
		Address: cfg.Ingress, Handler: a.newIngressHandler(), Limits: a.connectionLimits,
		RunsAhead: a.runsAhead, MaxAhead: cfg.Ahead,
		Heads:    &reserver.Reserver{Limit: cmp.Or(int64(cfg.HeadsMB)<<20, memory/headMemoryDivisor)},
		Ahead:    &reserver.Reserver{Limit: memory / aheadMemoryDivisor},
		MaxConns: cmp.Or(cfg.Connections, a.shares.ingress),
		OnPanic: func(v any) {
			a.Log.Error().Any("panic", v).Bytes("stack", debug.Stack()).Msg("acceptor: request failed")
		},
	}
}

// connectionLimits returns the configured limits of callers' connections.
func (a *Agent) connectionLimits() acceptor.Limits {
	l, ok := a.callerLimits()
	return acceptor.Limits{Configured: ok, HeadBytes: l.HeaderBytes, HeadTime: l.HeaderTime, IdleTime: l.IdleTime}
}

// runsAhead reports whether a request may run before those ahead of it on its connection are answered. During a planned stop, each
// answer closes its connection, so that none does.
func (a *Agent) runsAhead(r *http.Request) bool {
	routes := a.routes.Load()
	if routes == nil || a.stopping.Load() {
		return false
	}
	route, ok := routes.router.Match(r.Host, path(r.RequestURI))
	return ok && route.Idempotent && !route.Unreadable
}

// collectConnections sets the gauges for callers' connections.
func (a *Agent) collectConnections() {
	m := a.metrics
	m.gauge("way-in/in-flight", int64(a.ingress.InFlight()))
	m.gauge("way-in/connections", int64(a.ingress.Connections()))
	m.gauge("way-in/head-bytes", a.ingress.Heads.Reserved())
	m.gauge("way-in/ahead-bytes", a.ingress.Ahead.Reserved())
	m.gauge("way-in/closed-for-others", a.ingress.Evicted.Load())
	m.gauge("way-in/closed-at-once", a.ingress.Refused.Load())
	m.gauge("way-in/closed-late", a.ingress.Late.Load())
}

// connectionLogInterval is the minimum time between two log lines about connections closed for others.
const connectionLogInterval = 5 * time.Second

// connectionLog is what was logged last about connections.
type connectionLog struct {
	at     time.Duration
	closed int64
}

// logConnections logs that connections had to be closed since the last line.
func (a *Agent) logConnections(last *connectionLog) {
	now, closed := a.clock.Now(), a.ingress.Evicted.Load()+a.ingress.Refused.Load()
	if closed == last.closed || now-last.at < connectionLogInterval {
		return
	}
	a.Log.Warn().Int64("closed", closed-last.closed).Int("open", a.ingress.Connections()).Int("limit", a.ingress.MaxConns).
		Int64("head-bytes", a.ingress.Heads.Reserved()).Msg("way-in: connections closed for others")
	*last = connectionLog{at: now, closed: closed}
}
