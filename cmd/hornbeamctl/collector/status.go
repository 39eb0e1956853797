package collector

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/go-faster/errors"
)

// Status is what a node says about itself at GET /status, as far as hornbeamctl needs it.
type Status struct {
	// Address is the address that was asked.
	Address string `json:"address"`
	// Heard is false if the node did not answer; then only Address and Error are set.
	Heard    bool   `json:"heard"`
	Error    string `json:"error,omitempty"`
	Name     string `json:"name,omitempty"`
	Service  string `json:"service,omitempty"`
	Zone     string `json:"zone,omitempty"`
	State    string `json:"state,omitempty"`
	Revision uint64 `json:"document-revision"`
	// StoreBehind is set if the node knows that the store holds an older document.
	StoreBehind bool `json:"store-behind,omitempty"`
	// Diverged is set while the node holds an accepted edit that is missing from the document and is being merged.
	Diverged bool `json:"diverged,omitempty"`
	// Members are the members known to the node.
	Members []Member `json:"-"`
}

// Member is a member as a node lists it.
type Member struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
}

// statusBody is the JSON of GET /status.
type statusBody struct {
	Name        string          `json:"name"`
	Service     string          `json:"service"`
	Zone        string          `json:"zone"`
	State       string          `json:"state"`
	Revision    *uint64         `json:"document-revision"`
	StoreBehind bool            `json:"store-behind"`
	Diverged    bool            `json:"diverged"`
	Members     json.RawMessage `json:"members"`
}

// Statuses asks all nodes for their status.
func (c *Collector) Statuses(ctx context.Context) []Status {
	answers := c.Ask(ctx, http.MethodGet, "/status")
	statuses := make([]Status, len(answers))
	for i, a := range answers {
		if a.Err == nil {
			statuses[i], a.Err = parseStatus(a.Body)
		}
		statuses[i].Address = a.Address
		if a.Err != nil {
			statuses[i] = Status{Address: a.Address, Error: a.Err.Error()}
		}
	}
	return statuses
}

func parseStatus(data []byte) (Status, error) {
	var b statusBody
	if err := json.Unmarshal(data, &b); err != nil {
		return Status{}, errors.Wrap(err, "status")
	}
	if b.Name == "" || b.Revision == nil {
		return Status{}, errors.New("status without name or document-revision")
	}
	s := Status{
		Heard: true, Name: b.Name, Service: b.Service, Zone: b.Zone, State: b.State, Revision: *b.Revision,
		StoreBehind: b.StoreBehind, Diverged: b.Diverged,
	}
	// Members may be a number; then there are no names to compare.
	if json.Unmarshal(b.Members, &s.Members) != nil {
		s.Members = nil
	}
	return s, nil
}

// Highest returns the highest revision and the number of nodes heard.
func Highest(statuses []Status) (revision uint64, heard int) {
	for _, s := range statuses {
		if s.Heard {
			heard++
			revision = max(revision, s.Revision)
		}
	}
	return revision, heard
}

// Diverged returns the names of the nodes that report diverged documents.
func Diverged(statuses []Status) []string {
	var names []string
	for _, s := range statuses {
		if s.Diverged {
			names = append(names, s.Name)
		}
	}
	return names
}

// Missing returns the members that nodes know of and that did not answer, by name.
func Missing(statuses []Status) []Member {
	heard, listed := map[string]bool{}, map[string]bool{}
	for _, s := range statuses {
		heard[s.Name] = s.Heard
	}
	var missing []Member
	for _, s := range statuses {
		for _, m := range s.Members {
			if m.Name != "" && !heard[m.Name] && !listed[m.Name] {
				listed[m.Name] = true
				missing = append(missing, m)
			}
		}
	}
	return missing
}
