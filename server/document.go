package server

import (
	"context"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/parser"
)

// storeRetryPause is the wait after the store could not be reached.
const storeRetryPause = time.Second

// watchDocument reads the document from the store and follows its changes until ctx ends.
func (s *Server) watchDocument(ctx context.Context) {
	if s.Store == nil {
		return
	}
	for ctx.Err() == nil {
		entry, err := s.Store.Get(ctx, hornbeamcroft.KeyDocument)
		if err != nil {
			s.Log.Debug().Err(err).Msg("server: store cannot be read")
			pause(ctx, storeRetryPause)
			continue
		}
		s.offerDocument(entry)
		from := entry.ModRevision + 1
		if err := s.Store.Watch(ctx, hornbeamcroft.KeyDocument, from, func(e hornbeamcroft.Event) {
			s.offerDocument(e.Entry)
		}); err != nil && ctx.Err() == nil {
			s.Log.Debug().Err(err).Msg("server: watch ended")
			pause(ctx, 50*time.Millisecond)
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// offerDocument takes a document into force if it is valid and newer than the present one.
func (s *Server) offerDocument(entry hornbeamcroft.Entry) {
	if len(entry.Value) == 0 {
		return
	}
	stored, err := parser.Decode(entry.Value)
	if err != nil {
		s.Log.Error().Err(err).Msg("server: stored document is malformed")
		return
	}
	old := s.document.Load()
	if old != nil && stored.Revision <= old.Revision {
		return
	}
	doc, err := parser.Parse(stored)
	if err != nil {
		s.Log.Error().Err(err).Uint64("revision", stored.Revision).Msg("server: stored document is invalid")
		return
	}
	s.document.Store(&doc)
	s.applyDocument(old, &doc)
	s.Log.Info().Uint64("revision", doc.Revision).Msg("server: document in force")
}

// applyDocument passes changed limits to the admission of the own upstream.
func (s *Server) applyDocument(old, doc *hornbeamcroft.Document) {
	if s.executor == nil {
		return
	}
	own := doc.Services[s.Settings.Node.Service]
	if old != nil {
		before := old.Services[own.Name]
		if before.Slots == own.Slots && before.QueueTime == own.QueueTime {
			return
		}
	}
	s.executor.Replace(s.newAdmitter(own))
}

// watchUpstream announces the node as serving while its upstream accepts connections.
func (s *Server) watchUpstream(ctx context.Context) {
	const interval = time.Second
	up := false
	for ctx.Err() == nil {
		ok := s.dispatcher.Probe(ctx)
		if ok != up || (ok && s.members.self().State == hornbeamcroft.MemberStarting) {
			up = ok
			s.announceUpstream(ok)
		}
		wait := interval
		if !up {
			wait = interval / 10
		}
		pause(ctx, wait)
	}
}

func (s *Server) announceUpstream(up bool) {
	if s.draining.Load() {
		return
	}
	state := hornbeamcroft.MemberStarting
	if up {
		state = hornbeamcroft.MemberServing
	}
	s.Log.Info().Bool("reachable", up).Msg("server: upstream changed")
	s.members.announce(state)
}
