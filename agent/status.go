package agent

import (
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/rest/httpx"

	"hornbeamcroft"
)

// statusPage is the JSON answer to GET /status on the address of the metrics.
type statusPage struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	// Ready is true while the platform may send callers to the node.
	Ready bool `json:"ready"`
	// Routes is the configuration in force; null while there is none.
	Routes *routesStatus `json:"routes"`
	// Members and Links are the numbers of known nodes and of open links.
	Members int `json:"members"`
	Links   int `json:"links"`
	// Load is the load of the local upstream.
	Load hornbeamcroft.Load `json:"load"`
}

// routesStatus describes the configuration in force.
type routesStatus struct {
	Version int64 `json:"version"`
	// Source is "store" or the name of the peer that sent the configuration.
	Source string `json:"source"`
	// AgeMs is the time in milliseconds since the configuration came into force.
	AgeMs  int64 `json:"age-ms"`
	Routes int   `json:"routes"`
	// Tenants is the number of tenants; null if requests need no API key.
	Tenants *int `json:"tenants"`
	// Problems lists the entries that could not be read.
	Problems []hornbeamcroft.EntryProblem `json:"problems"`
}

// serveStatus answers with the state of the node.
func (a *Agent) serveStatus(w http.ResponseWriter, _ *http.Request) {
	cfg := a.Settings.Agent
	_, members := a.rank()
	page := statusPage{
		Name: cfg.Name, Service: cfg.Service, Zone: cfg.Zone, Ready: a.ready(), Members: members, Links: a.links.Count(),
		Load: a.runner.Load(),
	}
	if r := a.routes.Load(); r != nil {
		page.Routes = &routesStatus{
			Version: r.table.Version, Source: r.source, AgeMs: time.Since(r.since).Milliseconds(),
			Routes: len(r.table.Routes), Problems: append([]hornbeamcroft.EntryProblem{}, r.table.Problems...),
		}
		if n := len(r.table.Tenants); r.table.HasTenants {
			page.Routes.Tenants = &n
		}
	}
	httpx.OkJson(w, page)
}
