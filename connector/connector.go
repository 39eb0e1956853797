// Package connector keeps the WebSocket links between nodes. One link carries many calls, correlated by id and bounded
// by credit. A link on which nothing arrives while a ping is outstanding is closed, so that connections which a device
// in between has forgotten are replaced within seconds.
package connector

import (
	"context"
	"crypto/tls"
	"net"
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
)

// Timing of links.
const (
	// defaultSilence closes a link that has delivered nothing for this long with a ping outstanding.
	defaultSilence = 1500 * time.Millisecond
	// pingsInSilence is the number of pings sent in the time after which a link counts as silent, while calls are in
	// flight.
	pingsInSilence = 3
	// idlePingInterval applies to links without calls in flight; an idle link delays no call.
	idlePingInterval = 5 * time.Second
	// handshakeTimeout bounds dialing and the exchange of nonces and hellos.
	handshakeTimeout = 2 * time.Second
	// writeTimeout bounds the write of one frame.
	writeTimeout = 1500 * time.Millisecond
	// checkInterval is the period of the check for silent links.
	checkInterval = 100 * time.Millisecond
	// redialPause keeps a broken address from being dialed by every call.
	redialPause = 100 * time.Millisecond
)

// DefaultCredit is the number of calls a peer may have outstanding on one link.
const DefaultCredit = 1024

// maxInboundLinks bounds the links that a node accepts; the planned size needs fewer than 700.
const maxInboundLinks = 4096

// Connector dials, accepts and keeps links. Set the exported fields before Run.
type Connector struct {
	// Self is sent in the hello of every link; Proof is filled in by the connector.
	Self func() framer.Hello
	// Key is the cluster key that both ends of a link must hold.
	Key []byte
	// TLS is the configuration for dialing; nil for links without TLS.
	TLS *tls.Config
	// MaxBody bounds the body of a call or answer in bytes.
	MaxBody func() int
	// OnCall runs a call and returns its answer. It is called in its own goroutine. The context ends when the sender
	// cancels the call; it does not end when the link is lost, because the sender then asks for the outcome.
	OnCall func(ctx context.Context, peer framer.Hello, call hornbeamcroft.Call) hornbeamcroft.Answer
	// OnOutcome answers an outcome query. It is called in its own goroutine.
	OnOutcome func(ctx context.Context, q framer.OutcomeQuery) hornbeamcroft.Answer
	// OnMessage handles all other frames in the link's order. An error closes the link.
	OnMessage func(l *Link, t framer.Type, payload []byte) error
	// OnUp is called when the handshake of a link is done.
	OnUp func(l *Link)
	// OnDown is called when a link has ended; it may be nil.
	OnDown func(l *Link)
	// Silence closes a link that has delivered nothing for this long with a ping outstanding; 1.5 s if zero.
	Silence time.Duration
	Log     *log.Logger

	// Counts for metrics.
	Opened, Silent, LateAnswers atomic.Int64
	BytesIn, BytesOut           atomic.Int64
	ControlIn, ControlOut       atomic.Int64

	mu       sync.Mutex
	outbound map[string]*dialState
	links    map[*Link]struct{}
	peers    map[string][]*Link
	inbound  int
	closed   bool
}

// dialState is the state of the link to one address.
type dialState struct {
	mu       sync.Mutex
	link     *Link
	failedAt time.Time
	err      error
}

var upgrader = websocket.Upgrader{
	ReadBufferSize:  4096,
	WriteBufferSize: 4096,
	WriteBufferPool: &sync.Pool{},
	CheckOrigin:     func(r *http.Request) bool { return r.Header.Get("Origin") == "" },
}

func (c *Connector) silence() time.Duration {
	if c.Silence > 0 {
		return c.Silence
	}
	return defaultSilence
}

// Run checks links for silence until ctx ends, then closes all links.
func (c *Connector) Run(ctx context.Context) {
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			c.closeAll()
			return
		case now := <-t.C:
			for _, l := range c.Open() {
				l.checkSilence(now)
			}
		}
	}
}

// Open returns the open links.
func (c *Connector) Open() []*Link {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]*Link, 0, len(c.links))
	for l := range c.links {
		list = append(list, l)
	}
	return list
}

// Count returns the number of open links.
func (c *Connector) Count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.links)
}

func (c *Connector) closeAll() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	for _, l := range c.Open() {
		l.Close(errors.New("node stops"))
	}
}

// Link returns the link to the address, dialing it if there is none. Concurrent callers share one dial.
func (c *Connector) Link(ctx context.Context, address string) (*Link, error) {
	c.mu.Lock()
	if c.outbound == nil {
		c.outbound = make(map[string]*dialState)
	}
	d := c.outbound[address]
	if d == nil {
		d = &dialState{}
		c.outbound[address] = d
	}
	c.mu.Unlock()

	d.mu.Lock()
	defer d.mu.Unlock()
	if d.link != nil && !d.link.Ended() {
		return d.link, nil
	}
	if d.err != nil && time.Since(d.failedAt) < redialPause {
		return nil, d.err
	}
	l, err := c.dial(ctx, address)
	if err != nil {
		d.link, d.err, d.failedAt = nil, err, time.Now()
		return nil, err
	}
	d.link, d.err = l, nil
	return l, nil
}

// Existing returns the open link to the address, or nil.
func (c *Connector) Existing(address string) *Link {
	c.mu.Lock()
	d := c.outbound[address]
	c.mu.Unlock()
	if d == nil || !d.mu.TryLock() {
		return nil
	}
	defer d.mu.Unlock()
	if d.link == nil || d.link.Ended() {
		return nil
	}
	return d.link
}

// Peer returns an open link with the named node, whichever side opened it, or nil.
func (c *Connector) Peer(name string) *Link {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.peers[name] {
		if !l.Ended() {
			return l
		}
	}
	return nil
}

func (c *Connector) dial(ctx context.Context, address string) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	dialer := websocket.Dialer{
		HandshakeTimeout: handshakeTimeout,
		ReadBufferSize:   4096,
		WriteBufferSize:  4096,
		WriteBufferPool:  upgrader.WriteBufferPool,
		TLSClientConfig:  c.TLS,
		NetDialContext:   (&net.Dialer{Timeout: handshakeTimeout}).DialContext,
	}
	scheme := "ws"
	if c.TLS != nil {
		scheme = "wss"
	}
	conn, resp, err := dialer.DialContext(ctx, scheme+"://"+address+"/link", nil)
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	return c.start(conn, true)
}

// Accept upgrades an HTTP request to a link and serves it until it ends.
func (c *Connector) Accept(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	full := c.inbound >= maxInboundLinks || c.closed
	if !full {
		c.inbound++
	}
	c.mu.Unlock()
	if full {
		http.Error(w, "too many links", http.StatusServiceUnavailable)
		return
	}
	defer func() {
		c.mu.Lock()
		c.inbound--
		c.mu.Unlock()
	}()
	conn, err := upgrader.Upgrade(w, r, nil)
	if err != nil {
		return
	}
	l, err := c.start(conn, false)
	if err != nil {
		c.Log.Warn().Err(err).Str("from", r.RemoteAddr).Msg("connector: link rejected")
		return
	}
	<-l.done
}

func (c *Connector) start(conn *websocket.Conn, dialed bool) (*Link, error) {
	peer, err := c.handshake(conn, dialed)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	l := &Link{
		Peer:     peer,
		Dialed:   dialed,
		c:        c,
		conn:     conn,
		waiting:  make(map[uint64]chan hornbeamcroft.Answer),
		partials: make(map[partialKey]*partial),
		cancels:  make(map[uint64]served),
		credit:   make(chan struct{}, peer.Credit),
		done:     make(chan struct{}),
	}
	now := time.Now().UnixNano()
	l.lastRead.Store(now)
	l.lastPing.Store(now)
	conn.SetReadLimit(framer.MaxDocumentFrame)
	c.mu.Lock()
	if c.links == nil {
		c.links = make(map[*Link]struct{})
		c.peers = make(map[string][]*Link)
	}
	closed := c.closed
	c.links[l] = struct{}{}
	c.peers[peer.Name] = append(c.peers[peer.Name], l)
	c.mu.Unlock()
	c.Opened.Add(1)
	go l.read()
	if closed {
		l.Close(errors.New("node stops"))
		return l, nil
	}
	if c.OnUp != nil {
		c.OnUp(l)
	}
	return l, nil
}

func (c *Connector) remove(l *Link) {
	c.mu.Lock()
	delete(c.links, l)
	name := l.Peer.Name
	c.peers[name] = slices.DeleteFunc(c.peers[name], func(other *Link) bool { return other == l })
	if len(c.peers[name]) == 0 {
		delete(c.peers, name)
	}
	c.mu.Unlock()
	if c.OnDown != nil {
		c.OnDown(l)
	}
}
