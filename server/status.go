package server

import (
	"encoding/json"
	"html/template"
	"net/http"

	"github.com/rcrowley/go-metrics"

	"hornbeamcroft"
)

// Status is the response body of GET /status.
type Status struct {
	Name             string `json:"name"`
	Service          string `json:"service"`
	Zone             string `json:"zone"`
	State            string `json:"state"`
	DocumentRevision uint64 `json:"document-revision"`
	// StoreBehind is true while the store holds an older document than this node.
	StoreBehind bool `json:"store-behind"`
	// Diverged is true while another document with the same revision but other content is known.
	Diverged bool `json:"diverged"`
	// Drain is the state of the planned stop.
	Drain string `json:"drain"`
	// Epoch is the number of the roster epoch of the node's service, and Roster lists the members in it. Permit names
	// what the node's permit to run non-idempotent calls is based on, see owner.PermitKind.
	Epoch          uint64                       `json:"epoch"`
	Roster         []string                     `json:"roster,omitempty"`
	Permit         string                       `json:"permit"`
	KeyRecords     int                          `json:"key-records"`
	Running        int                          `json:"running"`
	Waiting        int                          `json:"waiting"`
	Links          int                          `json:"links"`
	AdmissionLevel hornbeamcroft.AdmissionLevel `json:"pressure"`
	Members        []MemberStatus               `json:"members"`
}

// MemberStatus describes one member as this node knows it.
type MemberStatus struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	State   string `json:"state"`
	// Lost is true if the member's availability zone cannot be reached.
	Lost bool `json:"lost"`
}

func (s *Server) status() Status {
	self := s.members.self()
	st := Status{
		Name: self.Name, Service: self.Service, Zone: self.Zone, State: self.State.String(), Links: s.links.Count(),
	}
	if doc := s.document.Load(); doc != nil {
		st.DocumentRevision = doc.Revision
	}
	if s.executor != nil {
		st.Running, st.Waiting = s.executor.Load()
		st.AdmissionLevel = s.executor.AdmissionLevel()
	}
	docs := s.documents.status()
	st.StoreBehind, st.Diverged = docs.StoreBehind, docs.Diverged
	st.Drain = s.drain.status().State.String()
	if s.arbiter != nil {
		o, d := s.arbiter.Status()
		st.Epoch, st.Roster, st.Permit, st.KeyRecords = o.Epoch.Number, o.Epoch.Roster, o.Permit.String(), d.Records
	}
	for _, v := range s.members.allViews() {
		st.Members = append(st.Members, MemberStatus{v.Name, v.Service, v.Zone, v.Address, v.State.String(), v.ZoneLost})
	}
	return st
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Server) serveStatus(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.status()) }

func (s *Server) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	s.metrics.collect(s)
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(s.metrics.registry, w)
}

func (s *Server) serveDrain(w http.ResponseWriter, _ *http.Request) {
	s.drain.request()
	w.WriteHeader(http.StatusAccepted)
}

var statusPage = template.Must(template.New("status").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{{.Name}}</title>
<style>body{font:15px sans-serif;margin:2em}td,th{padding:.2em .8em;text-align:left}</style>
<h1>{{.Name}}</h1>
<table>
<tr><th>Service<td>{{.Service}}<tr><th>Availability zone<td>{{.Zone}}<tr><th>State<td>{{.State}}
<tr><th>Document revision<td>{{.DocumentRevision}}<tr><th>Calls running<td>{{.Running}}
<tr><th>Calls waiting<td>{{.Waiting}}<tr><th>Roster epoch<td>{{.Epoch}} {{.Roster}}
<tr><th>Permit<td>{{.Permit}}<tr><th>Key records<td>{{.KeyRecords}}<tr><th>Drain<td>{{.Drain}}
<tr><th>Store behind<td>{{.StoreBehind}}<tr><th>Links<td>{{.Links}}
<tr><th>Importance admitted<td>{{.AdmissionLevel.Importance}} (threshold {{.AdmissionLevel.Threshold}} of 65536)
</table>
<h2>Members</h2>
<table><tr><th>Name<th>Service<th>Zone<th>Address<th>State</tr>
{{range .Members}}<tr><td>{{.Name}}<td>{{.Service}}<td>{{.Zone}}<td>{{.Address}}<td>{{.State}}{{if .Lost}}, zone lost{{end}}</tr>
{{end}}</table>
</html>
`))

func (s *Server) serveStatusPage(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	_ = statusPage.Execute(w, s.status())
}
