// Package subscriber tracks all keys of the store under a prefix: it lists them once and then watches for changes after
// the revision of the list. It lists them again only when the watch fails, for example because the store no longer
// keeps the changes since the last known revision.
package subscriber

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"hornbeamcroft"
	"hornbeamcroft/sleeper"
)

const (
	// minBackoff and maxBackoff limit the wait after a failed call, which doubles from call to call. The store is
	// called again at most maxBackoff after it has become reachable again.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
)

// Subscriber tracks the keys under a prefix. Set the exported fields before Run.
type Subscriber struct {
	Store  hornbeamcroft.Store
	Prefix string
	Rand   hornbeamcroft.Rand
	// OnList is called with all entries after each list, OnEvent with each change, in the order of their revisions.
	OnList  func(entries []hornbeamcroft.Entry)
	OnEvent func(e hornbeamcroft.Event)
	// OnStoreLost is called when the store stops answering, OnStoreRecovered when a list or an event shows that it answers
	// again.
	OnStoreLost      func(err error)
	OnStoreRecovered func()
	// OnWatchEnded is called with the error by which a watch ended, before the keys are listed again.
	OnWatchEnded func(err error)

	revision    int64
	unreachable bool
	backoff     time.Duration
	// relisted is true if the keys were listed because the store no longer kept the changes, and the watch since has not
	// lasted.
	relisted bool
}

// Run lists and watches the keys until ctx ends.
func (s *Subscriber) Run(ctx context.Context) {
	relist := true
	for ctx.Err() == nil {
		if relist {
			if err := s.listEntries(ctx); err != nil {
				s.handleUnreachable(ctx, err)
				continue
			}
			relist = false
		}
		start := time.Now()
		err := s.Store.Watch(ctx, s.Prefix, s.revision+1, s.handleEvent)
		if time.Since(start) >= maxBackoff {
			s.backoff, s.relisted = 0, false
		}
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, hornbeamcroft.ErrHistoryGone):
			s.OnWatchEnded(err)
			if s.relisted {
				// The watch after the last list ended the same way. A list at once would not help either.
				s.sleepBackoff(ctx)
			}
			relist, s.relisted = true, true
		case errors.Is(err, hornbeamcroft.ErrStoreUnreachable):
			// The next watch begins where this one ended, also after an outage, so that no list is needed.
			s.handleUnreachable(ctx, err)
		case err != nil:
			s.OnWatchEnded(err)
			// The store may have ended an idle watch although it is reachable. A list shows at once whether it answers.
			s.sleepBackoff(ctx)
			relist = true
		}
	}
}

// listEntries lists the keys and passes them to OnList.
func (s *Subscriber) listEntries(ctx context.Context) error {
	entries, revision, err := s.Store.List(ctx, s.Prefix)
	if err != nil {
		return err
	}
	s.reportRecovered()
	s.revision = max(s.revision, revision)
	s.OnList(entries)
	return nil
}

// reportRecovered calls OnStoreRecovered if the store was reported as lost.
func (s *Subscriber) reportRecovered() {
	if s.unreachable {
		s.unreachable = false
		s.OnStoreRecovered()
	}
}

func (s *Subscriber) handleEvent(e hornbeamcroft.Event) {
	s.backoff = 0
	s.reportRecovered()
	s.revision = max(s.revision, e.Entry.ModRevision)
	s.OnEvent(e)
}

// handleUnreachable reports the store as lost, unless it is already, and waits before the next call.
func (s *Subscriber) handleUnreachable(ctx context.Context, err error) {
	if !s.unreachable {
		s.unreachable = true
		s.OnStoreLost(err)
	}
	s.sleepBackoff(ctx)
}

// sleepBackoff doubles the backoff and sleeps for a random time between half of it and all of it.
func (s *Subscriber) sleepBackoff(ctx context.Context) {
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
	d := s.backoff/2 + time.Duration(s.Rand.Float64()*float64(s.backoff)/2)
	sleeper.Sleep(ctx, d)
}
