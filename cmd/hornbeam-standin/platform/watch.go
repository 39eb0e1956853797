package platform

import (
	"encoding/json"
	"net/http"
)

// watch streams the changes of a range until the caller leaves, a copy is restored or the events are compacted.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	var req watchRequest
	if !decode(w, r, &req) {
		return
	}
	key, end, from := string(req.Create.Key), string(req.Create.RangeEnd), req.Create.StartRevision
	s.state.mu.Lock()
	generation, revision := s.state.generation, s.state.revision
	s.state.mu.Unlock()
	if from <= 0 {
		from = revision + 1
	}
	w.Header().Set("Content-Type", "application/json")
	send := func(m watchResponse) bool {
		err := json.NewEncoder(w).Encode(stream[watchResponse]{m})
		return err == nil && http.NewResponseController(w).Flush() == nil
	}
	if !send(watchResponse{Header: header(revision), Created: true}) {
		return
	}
	for {
		faults, switched := s.control.get()
		events, revision, changed, ok := s.state.since(from, generation)
		switch {
		case faults.Down:
			abort()
		case !ok:
			s.state.mu.Lock()
			compacted := s.state.compacted
			s.state.mu.Unlock()
			send(watchResponse{
				Header: header(revision), Canceled: true, CompactRevision: compacted,
				CancelReason: "etcdserver: mvcc: required revision has been compacted",
			})
			return
		case !faults.HoldWatches:
			m := watchResponse{Header: header(revision)}
			for _, e := range events {
				if inRange(e.record.key, key, end) {
					m.Events = append(m.Events, e.wire())
				}
			}
			if len(m.Events) > 0 && !send(m) {
				return
			}
			if len(events) > 0 {
				from = events[len(events)-1].record.mod + 1
			}
		}
		select {
		case <-changed:
		case <-switched:
		case <-r.Context().Done():
			return
		}
	}
}

func (e event) wire() watchEvent {
	if e.deleted {
		return watchEvent{Type: "DELETE", Kv: e.record.wire()}
	}
	return watchEvent{Kv: e.record.wire()}
}
