// Package connector opens, accepts and monitors the WebSocket links between nodes. One link carries many concurrent
// calls, which are matched to their answers by id and limited in number by the credit that the peer grants. A link that
// receives nothing while a ping is unanswered is closed. This detects within seconds a TCP connection whose state a
// firewall or another device on the path has dropped, so that it can be replaced.
package connector

import (
	"context"
	"crypto/tls"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/websocket"
	"github.com/phuslu/log"

	"hornbeamcroft"
	"hornbeamcroft/framer"
	"hornbeamcroft/reserver"
)

// Time limits and intervals of links.
const (
	// defaultSilenceTimeout is the time without received frames after which a link with an unanswered ping is closed.
	defaultSilenceTimeout = 1500 * time.Millisecond
	// pingsPerSilenceTimeout is the number of pings sent per silence timeout while calls are in flight.
	pingsPerSilenceTimeout = 3
	// idlePingInterval is the time between pings on a link without calls in flight. It may be longer than with calls,
	// since a dead link without calls delays no call.
	idlePingInterval = 5 * time.Second
	// handshakeTimeout limits the time for dialing, and again the time for the exchange of nonces and hellos.
	handshakeTimeout = 2 * time.Second
	// writeTimeout limits the time for writing one frame.
	writeTimeout = 1500 * time.Millisecond
	// silenceCheckInterval is the time between two checks of all links for silence and due pings.
	silenceCheckInterval = 100 * time.Millisecond
	// redialDelay is the time after a failed dial in which calls to the same address fail without a new dial.
	redialDelay = 100 * time.Millisecond
)

// DefaultCredit is the number of calls that a peer may have outstanding on one link.
const DefaultCredit = 1024

// maxInboundLinks is the maximum number of accepted links where MaxInbound does not set it; the planned deployment size needs fewer
// than 700.
const maxInboundLinks = 4096

// Connector manages the links of one node. Set the exported fields before Run.
type Connector struct {
	// Self returns the hello that is sent on every link. The connector sets its Version, NewestType and Proof.
	Self func() framer.Hello
	// Key is the cluster key. Both ends of a link must have the same key.
	Key []byte
	// TLS is the TLS configuration for dialing; nil to dial without TLS.
	TLS *tls.Config
	// MaxBody returns the maximum size, in bytes, of the body of a call or answer.
	MaxBody func() int
	// OnCall runs a call of a peer and returns its answer. Each invocation has its own goroutine. The context ends when
	// the peer cancels the call or the call's remaining time has passed. If the link is lost, it ends at once for an
	// idempotent call only, because the peer retries that call elsewhere; for other calls the peer asks for the
	// outcome.
	OnCall func(ctx context.Context, peer framer.Hello, call hornbeamcroft.Call) hornbeamcroft.Answer
	// OnOutcome answers an outcome query of a peer. Each invocation has its own goroutine.
	OnOutcome func(ctx context.Context, q framer.OutcomeQuery) hornbeamcroft.Answer
	// OnMessage handles all frames that the connector does not handle itself, in the order of their arrival on the
	// link. If it returns an error, the link is closed.
	OnMessage func(l *Link, t framer.Type, payload []byte) error
	// OnUp is called when the handshake of a link has succeeded; it may be nil.
	OnUp func(l *Link)
	// OnDown is called when a link has closed; it may be nil.
	OnDown func(l *Link)
	// SilenceTimeout is the time without received frames after which a link with an unanswered ping is closed; 1.5 s if zero.
	SilenceTimeout time.Duration
	// MaxInbound is the maximum number of accepted links; maxInboundLinks if zero.
	MaxInbound int
	// Memory limits the memory that the bodies of received calls, and of answers to calls with an account, hold; nil for no
	// limit.
	Memory *reserver.Reserver
	Log    *log.Logger

	// Counters for metrics: links opened, links closed for silence, and answers that arrived after their call was given
	// up.
	Opened, ClosedSilent, LateAnswers atomic.Int64
	// BytesIn and BytesOut count the bytes of all frames.
	BytesIn, BytesOut atomic.Int64
	// ControlIn and ControlOut count the bytes of all frames but calls, bodies and answers.
	ControlIn, ControlOut atomic.Int64

	mu           sync.Mutex
	dialStates   map[string]*dialState
	links        map[*Link]struct{}
	linksByPeer  map[string][]*Link
	inboundCount int
	shutDown     bool
}

// dialState holds the link to one address, or the error of the last failed dial.
type dialState struct {
	mu       sync.Mutex
	link     *Link
	failedAt time.Time
	err      error
	// running is the dial in progress; nil if there is none.
	running *dial
}

// dial is one dial, for which any number of callers wait. Link and err are set before done is closed.
type dial struct {
	done chan struct{}
	link *Link
	err  error
}

var upgrader = websocket.Upgrader{
	ReadBufferSize:  4096,
	WriteBufferSize: 4096,
	WriteBufferPool: &sync.Pool{},
	CheckOrigin:     func(r *http.Request) bool { return r.Header.Get("Origin") == "" },
}

func (c *Connector) silenceTimeout() time.Duration {
	if c.SilenceTimeout > 0 {
		return c.SilenceTimeout
	}
	return defaultSilenceTimeout
}

// Run pings all links and closes those that exceed the silence timeout until ctx ends, then closes all links.
func (c *Connector) Run(ctx context.Context) {
	t := time.NewTicker(silenceCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			c.closeAll()
			return
		case now := <-t.C:
			for _, l := range c.Links() {
				l.checkSilence(now.Sub(l.openedAt))
			}
		}
	}
}

// Links returns all open links, dialed and accepted.
func (c *Connector) Links() []*Link {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]*Link, 0, len(c.links))
	for l := range c.links {
		list = append(list, l)
	}
	return list
}

// Count returns the number of open links, dialed and accepted.
func (c *Connector) Count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.links)
}

func (c *Connector) closeAll() {
	c.mu.Lock()
	c.shutDown = true
	c.mu.Unlock()
	for _, l := range c.Links() {
		l.Close(errors.New("node is shutting down"))
	}
}

// LinkTo returns an open link to the named node, dialed or accepted, or nil if there is none.
func (c *Connector) LinkTo(name string) *Link {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.linksByPeer[name] {
		if !l.Ended() {
			return l
		}
	}
	return nil
}

func (c *Connector) removeLink(l *Link) {
	c.mu.Lock()
	delete(c.links, l)
	name := l.Peer.Name
	c.linksByPeer[name] = slices.DeleteFunc(c.linksByPeer[name], func(other *Link) bool { return other == l })
	if len(c.linksByPeer[name]) == 0 {
		delete(c.linksByPeer, name)
	}
	c.mu.Unlock()
	if c.OnDown != nil {
		c.OnDown(l)
	}
}

// RunningCalls returns the number of calls of peers that are running on this node or whose answers are being sent.
func (c *Connector) RunningCalls() int {
	n := 0
	for _, l := range c.Links() {
		l.mu.Lock()
		n += len(l.runningCalls)
		l.mu.Unlock()
	}
	return n
}

// PeerNames returns the names of the nodes to which a link is open.
func (c *Connector) PeerNames() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.linksByPeer))
}
