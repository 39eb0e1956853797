package platform

import (
	"net/http"

	"github.com/zeromicro/go-zero/rest/pathvar"
)

// handleSave keeps a copy of the data for a later restore.
func (s *Server) handleSave(w http.ResponseWriter, r *http.Request) {
	s.state.save(pathvar.Vars(r)["name"])
	writeJSON(w, http.StatusOK, struct{}{})
}

// handleRestore replaces the data by a copy, as a restore from an old backup does.
func (s *Server) handleRestore(w http.ResponseWriter, r *http.Request) {
	name := pathvar.Vars(r)["name"]
	if !s.state.restore(name) {
		writeJSON(w, http.StatusNotFound, status{Error: "no copy " + name})
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}
