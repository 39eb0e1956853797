package connector

import (
	"cmp"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/websocket"

	"hornbeamcroft/framer"
)

// Accept upgrades an HTTP request to a link and returns when the link has closed.
func (c *Connector) Accept(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	reject := c.inboundCount >= cmp.Or(c.MaxInbound, maxInboundLinks) || c.shutDown
	if !reject {
		c.inboundCount++
	}
	c.mu.Unlock()
	if reject {
		http.Error(w, "too many links", http.StatusServiceUnavailable)
		return
	}
	defer func() {
		c.mu.Lock()
		c.inboundCount--
		c.mu.Unlock()
	}()
	conn, err := upgrader.Upgrade(w, r, nil)
	if err != nil {
		return
	}
	l, err := c.startLink(conn, false)
	if err != nil {
		c.Log.Warn().Err(err).Str("from", r.RemoteAddr).Msg("connector: link rejected")
		return
	}
	<-l.done
}

// startLink performs the handshake on conn and registers the link. It closes conn if the handshake fails.
func (c *Connector) startLink(conn *websocket.Conn, dialed bool) (*Link, error) {
	peer, err := c.handshake(conn, dialed)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	l := &Link{
		Peer:           peer,
		Dialed:         dialed,
		connector:      c,
		conn:           conn,
		pendingAnswers: make(map[uint64]pendingAnswer),
		partialBodies:  make(map[partialBodyKey]*partialBody),
		runningCalls:   make(map[uint64]runningCall),
		usedCredit:     make(chan struct{}, peer.Credit),
		done:           make(chan struct{}),
		openedAt:       time.Now(),
	}
	conn.SetReadLimit(framer.MaxDocumentFrame)
	c.mu.Lock()
	if c.links == nil {
		c.links = make(map[*Link]struct{})
		c.linksByPeer = make(map[string][]*Link)
	}
	closed := c.shutDown
	c.links[l] = struct{}{}
	c.linksByPeer[peer.Name] = append(c.linksByPeer[peer.Name], l)
	c.mu.Unlock()
	c.Opened.Add(1)
	go l.readLoop()
	if closed {
		l.Close(errors.New("node is shutting down"))
		return l, nil
	}
	if c.OnUp != nil {
		c.OnUp(l)
	}
	return l, nil
}
