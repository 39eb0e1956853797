package collector

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/go-faster/errors"
)

// Status holds the fields of a node's answer to GET /status that hornbeamctl uses.
type Status struct {
	// Address is the address to which the request was sent.
	Address string `json:"address"`
	// Heard is true if the node sent a valid answer. Otherwise only Address and Error are set.
	Heard   bool   `json:"heard"`
	Error   string `json:"error,omitempty"`
	Name    string `json:"name,omitempty"`
	Service string `json:"service,omitempty"`
	Zone    string `json:"zone,omitempty"`
	State   string `json:"state,omitempty"`
	// Revision is the revision of the document that the node has in force.
	Revision uint64 `json:"document-revision"`
	// StoreBehind is true if the node reports that the store holds an older document than its own.
	StoreBehind bool `json:"store-behind,omitempty"`
	// Diverged is true while the node's newest document lacks accepted edits, because the store was restored from an old
	// copy and edited before a node wrote the newer document back (see distributor.Status).
	Diverged bool `json:"diverged,omitempty"`
	// Members lists the members of the cluster that the node knows; nil if the node reports only their number.
	Members []Member `json:"-"`
}

// Member is a member of the cluster as a node lists it.
type Member struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
}

// statusBody is the JSON body of the answer to GET /status.
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

// Statuses requests the status of all nodes and returns it in the order of Addresses.
func (c *Collector) Statuses(ctx context.Context) []Status {
	answers := c.RequestAll(ctx, http.MethodGet, "/status")
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

// parseStatus decodes the body of an answer to GET /status. The fields name and document-revision are required.
func parseStatus(data []byte) (Status, error) {
	var b statusBody
	if err := json.Unmarshal(data, &b); err != nil {
		return Status{}, errors.Wrap(err, "decode status")
	}
	if b.Name == "" || b.Revision == nil {
		return Status{}, errors.New("status lacks name or document-revision")
	}
	s := Status{
		Heard: true, Name: b.Name, Service: b.Service, Zone: b.Zone, State: b.State, Revision: *b.Revision,
		StoreBehind: b.StoreBehind, Diverged: b.Diverged,
	}
	// A node may report the number of members instead of a list. Names are then not available.
	if json.Unmarshal(b.Members, &s.Members) != nil {
		s.Members = nil
	}
	return s, nil
}

// Highest returns the highest revision in force on any node that answered, and the number of nodes that answered.
func Highest(statuses []Status) (revision uint64, heard int) {
	for _, s := range statuses {
		if s.Heard {
			heard++
			revision = max(revision, s.Revision)
		}
	}
	return revision, heard
}

// Diverged returns the names of the nodes whose Diverged field is true.
func Diverged(statuses []Status) []string {
	var names []string
	for _, s := range statuses {
		if s.Diverged {
			names = append(names, s.Name)
		}
	}
	return names
}

// Missing returns the members that some node lists but that did not answer, each once, in the order of the lists.
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
