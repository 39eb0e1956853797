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

// sloTickInterval is the interval at which the reporter adds elapsed time to the time that its counts cover.
const sloTickInterval = time.Second

// sloCounter counts the requests whose ingress is this node by their outcome.
type sloCounter struct {
	s *Server

	mu       sync.Mutex
	reporter *sloreporter.Reporter
}

func newSLOCounter(s *Server) *sloCounter {
	return &sloCounter{s: s, reporter: sloreporter.New(time.Now(), s.Settings.Node.Name, s.incarnation)}
}

// run ticks the reporter until ctx ends.
func (c *sloCounter) run(ctx context.Context) {
	t := time.NewTicker(sloTickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			c.mu.Lock()
			c.reporter.Tick(now)
			c.mu.Unlock()
		}
	}
}

// configure registers the request types for which the document sets an objective.
func (c *sloCounter) configure(doc *hornbeamcroft.Document) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range doc.Objectives {
		if err := c.reporter.Register(time.Now(), o.Service, o.RequestType); err != nil {
			c.s.Log.Warn().Err(err).Msg("sloreporter: requests of an objective are not counted")
		}
	}
}

// record counts a finished request of an external caller. It skips requests that were rejected because of the caller's
// input, which have result codes from 400 on.
func (c *sloCounter) record(call hornbeamcroft.Call, a hornbeamcroft.Answer, latency time.Duration) {
	doc := c.s.document.Load()
	if doc == nil || a.Code >= 400 {
		return
	}
	objective := doc.Objectives[call.Service+"/"+call.Type].Within
	outcome := sloreporter.OutcomeBad
	switch {
	case a.Code.Claim() == hornbeamcroft.ClaimNotRun:
		outcome = sloreporter.OutcomeRefused
	case a.Code.Claim() == hornbeamcroft.ClaimRan && a.Status < 500:
		outcome = sloreporter.OutcomeGood
		if objective > 0 && latency > objective {
			outcome = sloreporter.OutcomeSlow
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reporter.Record(time.Now(), call.Service, call.Type, outcome)
}

// snapshot returns the counts of all registered request types.
func (c *sloCounter) snapshot() []sloreporter.Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reporter.Snapshot(time.Now())
}

// handOver sends the counts to one linked peer at the end of a planned stop, so that reports have no gap.
func (c *sloCounter) handOver() {
	for _, name := range c.s.members.linkedPeers() {
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

// receive adds the counts of a node that stops to those of this node.
func (c *sloCounter) receive(l *connector.Link, payload []byte) error {
	var counts sloreporter.Counts
	if err := framer.Decode(payload, &counts); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.reporter.Merge(time.Now(), counts); err != nil {
		c.s.Log.Warn().Err(err).Str("peer", l.Peer.Name).Msg("sloreporter: counts of a stopping node rejected")
	}
	return nil
}

func (s *Server) serveSLO(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.slo.snapshot()) }
