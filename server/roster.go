package server

import (
	"context"
	"strconv"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/leaser"
	"hornbeamcroft/tracker"
)

// writeRoster keeps the zone's roster in the store up to date while this node holds the zone's lease, until ctx ends.
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
	var stopLease context.CancelFunc
	t := time.NewTicker(relayCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			if stopLease != nil {
				stopLease()
			}
			return
		case <-t.C:
		}
		wantsLease := s.members.wantsLease()
		switch {
		case wantsLease && stopLease == nil:
			var leaseCtx context.Context
			leaseCtx, stopLease = context.WithCancel(ctx)
			go func() { _ = runner.Run(leaseCtx) }()
		case !wantsLease && stopLease != nil:
			stopLease()
			stopLease = nil
		}
		fence, held := runner.Held()
		if !held || !wantsLease {
			fence.Epoch = 0
		}
		s.performStoreRequest(ctx, fence.Epoch)
	}
}

// performStoreRequest performs the store request that the tracker returns, if any, and passes the result to the tracker.
// leaseRevision is the ModRevision of the lease key; zero if this node does not hold the lease.
func (s *Server) performStoreRequest(ctx context.Context, leaseRevision int64) {
	request := s.members.nextStoreRequest(leaseRevision)
	if request.Action == tracker.StoreNone {
		return
	}
	result := tracker.StoreResult{Action: request.Action}
	if request.Action == tracker.StoreList {
		result.Entries, _, result.Err = s.Store.List(ctx, hornbeamcroft.KeyZonePrefix)
	} else {
		result.Txn, result.Err = s.Store.Txn(ctx, request.Conditions, request.Puts)
	}
	s.members.step(func(now time.Duration) []tracker.Outgoing { return s.members.tracker.OnStoreResult(now, result) })
}
