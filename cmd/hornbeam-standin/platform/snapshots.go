package platform

import (
	"net/http"

	"github.com/zeromicro/go-zero/rest/pathvar"
)

// handleSaveSnapshot stores a snapshot of the data under the name in the path.
func (s *Server) handleSaveSnapshot(w http.ResponseWriter, r *http.Request) {
	s.state.saveSnapshot(pathvar.Vars(r)["name"])
	writeJSON(w, http.StatusOK, struct{}{})
}

// handleRestoreSnapshot replaces the data by the snapshot with the name in the path, as a restore of a store from an old backup
// does.
func (s *Server) handleRestoreSnapshot(w http.ResponseWriter, r *http.Request) {
	name := pathvar.Vars(r)["name"]
	if !s.state.restoreSnapshot(name) {
		writeJSON(w, http.StatusNotFound, errorResponse{Error: "no snapshot " + name})
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}
