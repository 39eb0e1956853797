// Package parser turns the operators' document into a checked hornbeamcroft.Document. It reports all problems at once;
// a document with a problem is never returned.
package parser

import (
	"sort"
	"strings"

	"github.com/go-faster/errors"

	"hornbeamcroft"
)

// Kinds of sections. A section's name is its kind, followed by a space and a subject except for the platform section.
const (
	KindPlatform  = "platform"
	KindService   = "service"
	KindRequest   = "request"
	KindObjective = "objective"
)

// Problem is one fault of a document or of a settings file.
type Problem struct {
	Section string `json:"section"`
	// Key is empty if the fault concerns the section as a whole.
	Key   string `json:"key,omitempty"`
	Value string `json:"value,omitempty"`
	// Allowed states what is allowed in place of the value.
	Allowed string `json:"allowed"`
}

// Error returns the problem as one line.
func (p Problem) Error() string {
	var b strings.Builder
	b.WriteString("[" + p.Section + "]")
	if p.Key != "" {
		b.WriteString(" " + p.Key)
	}
	if p.Key != "" && p.Value != "" {
		b.WriteString(" =")
	}
	if p.Value != "" {
		b.WriteString(" " + p.Value)
	}
	b.WriteString(": " + p.Allowed)
	return b.String()
}

// Problems lists all faults of a text; those of a document are ordered by section and key. It is the error of Parse and
// Split.
type Problems []Problem

// Error returns the problems, one a line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// err returns the sorted problems, or nil if there are none.
func (ps Problems) err() error {
	if len(ps) == 0 {
		return nil
	}
	sort.SliceStable(ps, func(i, j int) bool {
		if ps[i].Section != ps[j].Section {
			return ps[i].Section < ps[j].Section
		}
		return ps[i].Key < ps[j].Key
	})
	return ps
}

// Parse checks a stored document as a whole. The error is of type Problems.
func Parse(stored hornbeamcroft.StoredDocument) (hornbeamcroft.Document, error) {
	b := builder{doc: hornbeamcroft.Document{
		Revision:   stored.Revision,
		Platform:   defaultPlatform(),
		Services:   map[string]hornbeamcroft.Service{},
		Requests:   map[string]hornbeamcroft.RequestType{},
		Objectives: map[string]hornbeamcroft.Objective{},
	}}
	b.checkSize(stored)
	seen := map[string]bool{}
	for _, s := range stored.Sections {
		if seen[s.Name] {
			b.problem(s.Name, "", "", "the section appears twice; allowed is once")
			continue
		}
		seen[s.Name] = true
		if !s.Removed {
			b.section(s)
		}
	}
	b.checkWhole()
	if err := b.problems.err(); err != nil {
		return hornbeamcroft.Document{}, err
	}
	return b.doc, nil
}

// ParseText checks INI text as a whole document.
func ParseText(text []byte) (hornbeamcroft.Document, error) {
	sections, err := Split(text)
	if err != nil {
		return hornbeamcroft.Document{}, err
	}
	return Parse(hornbeamcroft.StoredDocument{Sections: sections})
}

// AsProblems returns the problems in err; an error of another type becomes one problem.
func AsProblems(err error) Problems {
	if err == nil {
		return nil
	}
	var ps Problems
	if errors.As(err, &ps) {
		return ps
	}
	return Problems{{Section: "document", Allowed: err.Error()}}
}
