// Package parser parses and validates the operators' document, and converts it between INI text, sections and the
// encoding in the store. Parse reports all problems of a document at once and never returns a document that has one.
package parser

import (
	"sort"
	"strings"

	"github.com/go-faster/errors"

	"hornbeamcroft"
)

// Kinds of sections. The name of a section is its kind, a space and a subject, for example "service cash-office"; the
// platform section has no subject.
const (
	KindPlatform  = "platform"
	KindService   = "service"
	KindRequest   = "request"
	KindObjective = "objective"
)

// Problem is one error in a document or in a settings file.
type Problem struct {
	// Section is the name of the section, or "document" if the problem concerns the document as a whole.
	Section string `json:"section"`
	// Key is empty if the problem concerns the section as a whole.
	Key string `json:"key,omitempty"`
	// Value is the value that was refused; empty if there is none.
	Value string `json:"value,omitempty"`
	// Allowed states what is wrong and what is allowed instead.
	Allowed string `json:"allowed"`
}

// Error returns the problem as one line, for example
// "[service cash] slots = 0: must be an integer from 1 to 100000 without a unit".
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

// Problems lists all problems of a document or settings file. It is the type of the errors of Parse and Split, which
// order it by section and key.
type Problems []Problem

// Error returns the problems, one per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// sortedOrNil sorts the problems by section and key and returns them as an error. It returns nil if there are none.
func (ps Problems) sortedOrNil() error {
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

// Parse parses all sections of a stored document that are not removed and validates the document as a whole. The error
// is of type Problems.
func Parse(stored hornbeamcroft.StoredDocument) (hornbeamcroft.Document, error) {
	b := builder{doc: hornbeamcroft.Document{
		Revision:     stored.Revision,
		Platform:     defaultPlatform(),
		Services:     map[string]hornbeamcroft.Service{},
		RequestTypes: map[string]hornbeamcroft.RequestType{},
		Objectives:   map[string]hornbeamcroft.Objective{},
	}}
	b.checkSize(stored)
	seen := map[string]bool{}
	for _, s := range stored.Sections {
		if seen[s.Name] {
			b.addProblem(s.Name, "", "", "the section appears more than once; it must appear only once")
			continue
		}
		seen[s.Name] = true
		if !s.Removed {
			b.parseSection(s)
		}
	}
	b.checkDocument()
	if err := b.problems.sortedOrNil(); err != nil {
		return hornbeamcroft.Document{}, err
	}
	return b.doc, nil
}

// ParseText parses and validates INI text as a whole document.
func ParseText(text []byte) (hornbeamcroft.Document, error) {
	sections, err := Split(text)
	if err != nil {
		return hornbeamcroft.Document{}, err
	}
	return Parse(hornbeamcroft.StoredDocument{Sections: sections})
}

// AsProblems returns the Problems that err is or wraps. An error of another type becomes one problem of the section
// "document"; nil gives nil.
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
