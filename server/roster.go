package server

import (
	"context"
	"strconv"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/leaser"
	"hornbeamcroft/tracker"
)

// writeRoster keeps the zone's roster in the store while this node holds the zone's lease, until ctx ends.
func (s *Server) writeRoster(ctx context.Context) {
	if s.Store == nil {
		return
	}
	runner := &leaser.Runner{
		Leaser: &leaser.Leaser{
			Key:    hornbeamcroft.KeyLeasePrefix + s.Settings.Node.Zone,
			Holder: s.Settings.Node.Name + "/" + strconv.FormatUint(s.incarnation, 10),
			TTL:    leaser.DefaultTTL,
		},
		Store: s.Store,
		Clock: s.clock,
	}
	var stop context.CancelFunc
	t := time.NewTicker(relayCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			if stop != nil {
				stop()
			}
			return
		case <-t.C:
		}
		want := s.members.wantsLease()
		switch {
		case want && stop == nil:
			var leaseCtx context.Context
			leaseCtx, stop = context.WithCancel(ctx)
			go func() { _ = runner.Run(leaseCtx) }()
		case !want && stop != nil:
			stop()
			stop = nil
		}
		fence, held := runner.Held()
		if !held || !want {
			fence.Epoch = 0
		}
		s.rosterStep(ctx, fence.Epoch)
	}
}

// rosterStep carries out the store request that the tracker wants, if any.
func (s *Server) rosterStep(ctx context.Context, lease int64) {
	q := s.members.storeWork(lease)
	if q.Action == tracker.StoreNone {
		return
	}
	res := tracker.StoreResult{Action: q.Action}
	if q.Action == tracker.StoreList {
		res.Entries, _, res.Err = s.Store.List(ctx, hornbeamcroft.KeyZonePrefix)
	} else {
		res.Txn, res.Err = s.Store.Txn(ctx, q.Conditions, q.Puts)
	}
	s.members.step(func(now time.Duration) []tracker.Outgoing { return s.members.tracker.StoreDone(now, res) })
}
