package parser

import (
	"fmt"
	"slices"
	"strings"

	"hornbeamcroft"
)

// checkSize reports a document whose encoding is too large for the store.
func (b *builder) checkSize(stored hornbeamcroft.StoredDocument) {
	data, err := Encode(stored)
	if err != nil {
		b.addProblem("document", "", "", err.Error())
		return
	}
	if len(data) > MaxDocument {
		b.addProblem("document", "", fmt.Sprintf("%d bytes", len(data)), fmt.Sprintf("must be at most %d bytes", MaxDocument))
	}
}

// checkDocument checks the rules that involve more than one section or key: references, limits that depend on other
// values and the call graph.
func (b *builder) checkDocument() {
	b.checkPlatform()
	for _, s := range b.doc.Services {
		b.checkService(s)
	}
	b.checkCycles()
	for typeName, r := range b.doc.RequestTypes {
		b.checkRequest(typeName, r)
	}
	for typeName, o := range b.doc.Objectives {
		b.checkObjective(typeName, o)
	}
}

func (b *builder) checkPlatform() {
	p := b.doc.Platform
	if p.KeyWindow <= 2*p.ClockSkew {
		b.addProblem(KindPlatform, "key-window", FormatDuration(p.KeyWindow),
			"contradiction: must be more than twice the clock-skew of "+FormatDuration(p.ClockSkew))
	}
}

func (b *builder) checkService(s hornbeamcroft.Service) {
	section := KindService + " " + s.Name
	if s.Connections > 0 && s.Connections < s.Slots {
		b.addProblem(section, "connections", fmt.Sprint(s.Connections),
			fmt.Sprintf("contradiction: must be at least the %d slots", s.Slots))
	}
	for i, called := range s.Calls {
		if _, ok := b.doc.Services[called]; !ok {
			b.addProblem(section, "calls", called, "missing reference: must be the name of a section [service NAME]")
		}
		if slices.Index(s.Calls, called) < i {
			b.addProblem(section, "calls", called, "the service is listed more than once; it must be listed only once")
		}
	}
}

func (b *builder) checkRequest(typeName string, r hornbeamcroft.RequestType) {
	section := KindRequest + " " + typeName
	if _, ok := b.doc.Services[r.Service]; !ok {
		b.addProblem(section, "", r.Service, "missing reference: the document has no [service "+r.Service+"]")
	}
	if !r.Idempotent && r.Timeout > b.doc.Platform.KeyWindow {
		b.addProblem(section, "timeout", FormatDuration(r.Timeout), "contradiction: must be at most the key-window of "+
			FormatDuration(b.doc.Platform.KeyWindow)+", since the key must outlive the request")
	}
}

func (b *builder) checkObjective(typeName string, o hornbeamcroft.Objective) {
	section := KindObjective + " " + typeName
	r, ok := b.doc.RequestTypes[typeName]
	if !ok {
		b.addProblem(section, "", typeName, "missing reference: the document has no [request "+typeName+"]")
		return
	}
	if o.Within > r.Timeout {
		b.addProblem(section, "within", FormatDuration(o.Within),
			"contradiction: must be at most the request's timeout of "+FormatDuration(r.Timeout))
	}
}

// States of a service in the depth-first search of checkCycles; a service that was not reached yet has none.
const (
	// visiting: the service is on the current path.
	visiting = 1
	// visited: all calls of the service were followed.
	visited = 2
)

// checkCycles searches the call graph depth first. It reports each call that closes a cycle, with the cycle. If there
// is no cycle, it reports the services whose call graphs have more levels than max-depth.
func (b *builder) checkCycles() {
	states, levels := map[string]int{}, map[string]int{}
	cyclic := false
	var path []string
	var visit func(service string)
	visit = func(service string) {
		states[service] = visiting
		path = append(path, service)
		for _, called := range b.doc.Services[service].Calls {
			if states[called] == visiting {
				cyclic = true
				cycle := append(slices.Clone(path[slices.Index(path, called):]), called)
				b.addProblem(KindService+" "+service, "calls", called,
					"call cycle "+strings.Join(cycle, " -> ")+"; the call graph must have no cycles")
			} else if states[called] == 0 {
				visit(called)
			}
			levels[service] = max(levels[service], levels[called])
		}
		levels[service]++
		path = path[:len(path)-1]
		states[service] = visited
	}
	for _, service := range sortedKeys(b.doc.Services) {
		if states[service] == 0 {
			visit(service)
		}
	}
	for service, n := range levels {
		if !cyclic && n > b.doc.Platform.MaxDepth {
			b.addProblem(KindService+" "+service, "calls", strings.Join(b.doc.Services[service].Calls, " "),
				fmt.Sprintf("contradiction: %d levels of calls; must be at most the max-depth of %d", n, b.doc.Platform.MaxDepth))
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
