package parser

import (
	"fmt"
	"slices"
	"strings"

	"hornbeamcroft"
)

func (b *builder) checkSize(stored hornbeamcroft.StoredDocument) {
	data, err := Encode(stored)
	if err != nil {
		b.problem("document", "", "", err.Error())
		return
	}
	if len(data) > MaxDocument {
		b.problem("document", "", fmt.Sprintf("%d bytes", len(data)), fmt.Sprintf("allowed are %d bytes", MaxDocument))
	}
}

// checkWhole checks what concerns more than one section or key.
func (b *builder) checkWhole() {
	b.checkPlatform()
	for _, s := range b.doc.Services {
		b.checkService(s)
	}
	b.checkCycles()
	for full, r := range b.doc.Requests {
		b.checkRequest(full, r)
	}
	for full, o := range b.doc.Objectives {
		b.checkObjective(full, o)
	}
}

func (b *builder) checkPlatform() {
	p := b.doc.Platform
	if p.KeyWindow <= 2*p.ClockSkew {
		b.problem(KindPlatform, "key-window", FormatDuration(p.KeyWindow),
			"contradiction: allowed is more than twice the clock-skew of "+FormatDuration(p.ClockSkew))
	}
}

func (b *builder) checkService(s hornbeamcroft.Service) {
	section := KindService + " " + s.Name
	if s.Connections > 0 && s.Connections < s.Slots {
		b.problem(section, "connections", fmt.Sprint(s.Connections),
			fmt.Sprintf("contradiction: allowed is at least the %d slots", s.Slots))
	}
	for i, called := range s.Calls {
		if _, ok := b.doc.Services[called]; !ok {
			b.problem(section, "calls", called, "missing reference: allowed are names of sections [service NAME]")
		}
		if slices.Index(s.Calls, called) < i {
			b.problem(section, "calls", called, "the service is named twice; allowed is once")
		}
	}
}

func (b *builder) checkRequest(full string, r hornbeamcroft.RequestType) {
	section := KindRequest + " " + full
	if _, ok := b.doc.Services[r.Service]; !ok {
		b.problem(section, "", r.Service, "missing reference: the document has no [service "+r.Service+"]")
	}
	if !r.Idempotent && r.Timeout > b.doc.Platform.KeyWindow {
		b.problem(section, "timeout", FormatDuration(r.Timeout), "contradiction: allowed is at most the key-window of "+
			FormatDuration(b.doc.Platform.KeyWindow)+", since the key must outlive the request")
	}
}

func (b *builder) checkObjective(full string, o hornbeamcroft.Objective) {
	section := KindObjective + " " + full
	r, ok := b.doc.Requests[full]
	if !ok {
		b.problem(section, "", full, "missing reference: the document has no [request "+full+"]")
		return
	}
	if o.Within > r.Timeout {
		b.problem(section, "within", FormatDuration(o.Within),
			"contradiction: allowed is at most the request's timeout of "+FormatDuration(r.Timeout))
	}
}

// Marks of the depth-first search.
const (
	visiting = 1
	visited  = 2
)

// checkCycles reports each call cycle once, and call chains deeper than max-depth if there is no cycle.
func (b *builder) checkCycles() {
	marks, levels := map[string]int{}, map[string]int{}
	cyclic := false
	var path []string
	var visit func(service string)
	visit = func(service string) {
		marks[service] = visiting
		path = append(path, service)
		for _, called := range b.doc.Services[service].Calls {
			if marks[called] == visiting {
				cyclic = true
				cycle := append(slices.Clone(path[slices.Index(path, called):]), called)
				b.problem(KindService+" "+service, "calls", called,
					"call cycle "+strings.Join(cycle, " -> ")+"; allowed is a graph without cycles")
			} else if marks[called] == 0 {
				visit(called)
			}
			levels[service] = max(levels[service], levels[called])
		}
		levels[service]++
		path = path[:len(path)-1]
		marks[service] = visited
	}
	for _, service := range sortedKeys(b.doc.Services) {
		if marks[service] == 0 {
			visit(service)
		}
	}
	for service, n := range levels {
		if !cyclic && n > b.doc.Platform.MaxDepth {
			b.problem(KindService+" "+service, "calls", strings.Join(b.doc.Services[service].Calls, " "),
				fmt.Sprintf("contradiction: %d levels of calls; allowed is the max-depth of %d", n, b.doc.Platform.MaxDepth))
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
