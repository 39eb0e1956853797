// Package subscriber follows all keys of the store under a prefix: it lists them once, watches from the revision of the
// list on, and lists again only when the store no longer keeps the changes in between.
package subscriber

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"hornbeamcroft"
	"hornbeamcroft/sleeper"
)

const (
	// leastWait and mostWait bound the wait after a failed call. The store is back within reach for at most this long
	// before it is asked again.
	leastWait = 100 * time.Millisecond
	mostWait  = 800 * time.Millisecond
)

// Subscriber follows a prefix. Set the exported fields before Run.
type Subscriber struct {
	Store  hornbeamcroft.Store
	Prefix string
	Rand   hornbeamcroft.Rand
	// OnList takes all entries, OnEvent a change, in the order of their revisions.
	OnList  func(entries []hornbeamcroft.Entry)
	OnEvent func(e hornbeamcroft.Event)
	// OnLost and OnFound are told when the store stops and starts to answer.
	OnLost  func(err error)
	OnFound func()
	// OnCut takes the reason why a watch ended and the keys are listed again.
	OnCut func(err error)

	revision int64
	lost     bool
	wait     time.Duration
}

// Run follows until ctx ends.
func (s *Subscriber) Run(ctx context.Context) {
	relist := true
	for ctx.Err() == nil {
		if relist {
			if err := s.list(ctx); err != nil {
				s.fail(ctx, err)
				continue
			}
			relist = false
		}
		err := s.Store.Watch(ctx, s.Prefix, s.revision+1, s.event)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, hornbeamcroft.ErrHistoryGone):
			s.OnCut(err)
			relist = true
		case err != nil:
			s.OnCut(err)
			// A waiting watch may be cut by the store. A list tells at once whether the store answers.
			s.pause(ctx)
			relist = true
		}
	}
}

func (s *Subscriber) list(ctx context.Context) error {
	entries, revision, err := s.Store.List(ctx, s.Prefix)
	if err != nil {
		return err
	}
	if s.lost {
		s.lost = false
		s.OnFound()
	}
	s.revision = max(s.revision, revision)
	s.OnList(entries)
	return nil
}

func (s *Subscriber) event(e hornbeamcroft.Event) {
	s.wait = 0
	s.revision = max(s.revision, e.Entry.ModRevision)
	s.OnEvent(e)
}

// fail notes that the store does not answer, and waits before the next call.
func (s *Subscriber) fail(ctx context.Context, err error) {
	if !s.lost {
		s.lost = true
		s.OnLost(err)
	}
	s.pause(ctx)
}

func (s *Subscriber) pause(ctx context.Context) {
	s.wait = min(max(2*s.wait, leastWait), mostWait)
	d := s.wait/2 + time.Duration(s.Rand.Float64()*float64(s.wait)/2)
	sleeper.Sleep(ctx, d)
}
