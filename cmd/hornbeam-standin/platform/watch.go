package platform

import (
	"encoding/json"
	"net/http"
)

// watch streams the changes of a range until the client closes the connection, the fault Down is set, a snapshot is restored
// or events that the client has not received are no longer kept.
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
	send := func(message watchResponse) bool {
		err := json.NewEncoder(w).Encode(streamMessage[watchResponse]{message})
		return err == nil && http.NewResponseController(w).Flush() == nil
	}
	if !send(watchResponse{Header: header(revision), Created: true}) {
		return
	}
	for {
		faults, faultsChanged := s.control.currentFaults()
		events, revision, changed, ok := s.state.eventsSince(from, generation)
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
			message := watchResponse{Header: header(revision)}
			for _, e := range events {
				if inRange(e.record.key, key, end) {
					message.Events = append(message.Events, e.toWire())
				}
			}
			if len(message.Events) > 0 && !send(message) {
				return
			}
			if len(events) > 0 {
				from = events[len(events)-1].record.modRevision + 1
			}
		}
		select {
		case <-changed:
		case <-faultsChanged:
		case <-r.Context().Done():
			return
		}
	}
}

// toWire returns the event as a message of the gateway.
func (e event) toWire() watchEvent {
	if e.deleted {
		return watchEvent{Type: "DELETE", Kv: e.record.toWire()}
	}
	return watchEvent{Kv: e.record.toWire()}
}
