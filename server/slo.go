package server

import (
	"context"
	"net/http"
	"sync"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/connector"
	"hornbeamcroft/framer"
	"hornbeamcroft/sloreporter"
)

// sloTick is how often counted time is noted.
const sloTick = time.Second

// sloCounts counts the requests that enter at this node.
type sloCounts struct {
	s *Server

	mu   sync.Mutex
	core *sloreporter.Reporter
}

func newSLOCounts(s *Server) *sloCounts {
	return &sloCounts{s: s, core: sloreporter.New(time.Now(), s.Settings.Node.Name, s.incarnation)}
}

func (c *sloCounts) run(ctx context.Context) {
	t := time.NewTicker(sloTick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			c.mu.Lock()
			c.core.Tick(now)
			c.mu.Unlock()
		}
	}
}

// configure registers the request types that have objectives.
func (c *sloCounts) configure(doc *hornbeamcroft.Document) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range doc.Objectives {
		if err := c.core.Register(time.Now(), o.Service, o.Request); err != nil {
			c.s.Log.Warn().Err(err).Msg("sloreporter: objective not counted")
		}
	}
}

// record counts a finished request of an outside caller.
func (c *sloCounts) record(call hornbeamcroft.Call, a hornbeamcroft.Answer, took time.Duration) {
	doc := c.s.document.Load()
	if doc == nil || a.Code >= 400 {
		return
	}
	within := doc.Objectives[call.Service+"/"+call.Type].Within
	o := sloreporter.OutcomeBad
	switch {
	case a.Code.Claim() == hornbeamcroft.ClaimNotRun:
		o = sloreporter.OutcomeRefused
	case a.Code.Claim() == hornbeamcroft.ClaimRan && a.Status < 500:
		o = sloreporter.OutcomeGood
		if within > 0 && took > within {
			o = sloreporter.OutcomeSlow
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.Record(time.Now(), call.Service, call.Type, o)
}

func (c *sloCounts) snapshot() []sloreporter.Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Snapshot(time.Now())
}

// handOver sends the counts to another node at the end of a planned stop, so that no gap is shown.
func (c *sloCounts) handOver() {
	for _, name := range c.s.members.neighbours() {
		l := c.s.links.LinkTo(name)
		if l == nil {
			continue
		}
		for _, counts := range c.snapshot() {
			if l.Send(framer.TypeSLOCounts, counts) != nil {
				return
			}
		}
		return
	}
}

// receive takes over the counts of a node that stops.
func (c *sloCounts) receive(l *connector.Link, payload []byte) error {
	var counts sloreporter.Counts
	if err := framer.Decode(payload, &counts); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.core.Adopt(time.Now(), counts); err != nil {
		c.s.Log.Warn().Err(err).Str("peer", l.Peer.Name).Msg("sloreporter: counts not taken over")
	}
	return nil
}

func (s *Server) serveSLO(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.slo.snapshot()) }
