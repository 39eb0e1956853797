// Package explainer puts the log lines of several nodes about one request together, in the order in which one caused the
// next. The clocks of hosts differ, so times are shown and not compared between hosts.
package explainer

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Messages of the lines that tell about requests.
const (
	messageRequest  = "courier: request"
	messageCall     = "runner: call"
	messageRejected = "way-in: request rejected"
	messageNoRoute  = "way-in: no route"
	messageOmitted  = "recorder: lines left out"
)

const (
	// around is the time before and after a line within which what the same node believed may explain it.
	around = 2 * time.Second
	// maxContext bounds the lines about a node's beliefs for each line about the request.
	maxContext = 6
	// maxLine bounds a line of a log in bytes.
	maxLine = 1 << 20
)

// Line is one line of a node's log.
type Line struct {
	Node    string         `json:"node"`
	Time    time.Time      `json:"time"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

func (l Line) text(name string) string {
	s, _ := l.Fields[name].(string)
	return s
}

// Step is what one attempt went through.
type Step struct {
	// Attempt is its id. The id of a call extends that of the request that made it.
	Attempt string `json:"attempt"`
	// Entered is the line of the node where it entered; nil if that line was left out or its log was not given.
	Entered *Line `json:"entered,omitempty"`
	// Runs are the lines of the nodes beside the upstreams that it was sent to, in the order of the sends.
	Runs []Line `json:"runs,omitempty"`
	// Context are lines about what the nodes involved believed, lost or regained about that time.
	Context []Line `json:"context,omitempty"`
	// Calls are the calls that its runs made.
	Calls []*Step `json:"calls,omitempty"`
}

// Explainer collects the lines about one request. Set the exported field before the first Read.
type Explainer struct {
	// ID is the id of an attempt.
	ID string

	about []Line
	other []Line
}

// Read takes the log of one node. Lines that are not JSON are passed over: a log may begin in the middle of one.
func (e *Explainer) Read(name string, r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		at := strings.IndexByte(s.Text(), '{')
		if at < 0 {
			continue
		}
		var fields map[string]any
		if err := json.Unmarshal(s.Bytes()[at:], &fields); err != nil {
			continue
		}
		l := Line{Node: name, Fields: fields}
		l.Message = l.text("message")
		l.Time, _ = time.Parse(time.RFC3339Nano, l.text("time"))
		if own := l.text("name"); l.Message == "agent: started" && own != "" {
			name = own
		}
		e.take(l)
	}
	if err := s.Err(); err != nil {
		return errors.Wrap(err, name)
	}
	return nil
}

func (e *Explainer) take(l Line) {
	switch l.Message {
	case messageRequest, messageCall, messageRejected, messageNoRoute:
		if id := l.text("id"); id == e.ID || strings.HasPrefix(id, e.ID+".") {
			e.about = append(e.about, l)
		}
	default:
		e.other = append(e.other, l)
	}
}

// Explain returns the account of the request, or an error if no line is about it.
func (e *Explainer) Explain() (*Step, error) {
	if len(e.about) == 0 {
		return nil, errors.Errorf("no line about %q: lines are left out under load, see the metrics log/omitted", e.ID)
	}
	ids := make([]string, 0, len(e.about))
	for _, l := range e.about {
		ids = append(ids, l.text("id"))
	}
	slices.Sort(ids)
	root := &Step{Attempt: e.ID}
	steps := map[string]*Step{e.ID: root}
	for _, id := range slices.Compact(ids) {
		s := steps[id]
		if s == nil {
			s = &Step{Attempt: id}
			steps[id] = s
			parent := parentOf(steps, id)
			parent.Calls = append(parent.Calls, s)
		}
		e.fill(s)
	}
	return root, nil
}

// parentOf returns the step whose id is the longest that the id extends.
func parentOf(steps map[string]*Step, id string) *Step {
	for i := len(id) - 1; i > 0; i-- {
		if p := steps[id[:i]]; p != nil && id[i] == '.' {
			return p
		}
	}
	return nil
}

// fill puts the lines about an attempt in their order: a send before the next, and all before the answer.
func (e *Explainer) fill(s *Step) {
	for _, l := range e.about {
		if l.text("id") != s.Attempt {
			continue
		}
		if l.Message == messageCall {
			s.Runs = append(s.Runs, l)
			continue
		}
		s.Entered = &l
	}
	if s.Entered != nil {
		hosts := strings.Fields(s.Entered.text("hosts"))
		slices.SortStableFunc(s.Runs, func(a, b Line) int { return slices.Index(hosts, a.Node) - slices.Index(hosts, b.Node) })
	}
	s.Context = e.context(s)
}

// context returns the lines about the beliefs of the nodes involved at about the time of the step.
func (e *Explainer) context(s *Step) []Line {
	lines := slices.Clone(s.Runs)
	if s.Entered != nil {
		lines = append(lines, *s.Entered)
	}
	var found []Line
	for _, o := range e.other {
		if o.Message == messageOmitted || len(found) >= maxContext*len(lines) {
			continue
		}
		if slices.ContainsFunc(lines, func(l Line) bool { return l.Node == o.Node && l.Time.Sub(o.Time).Abs() <= around }) {
			found = append(found, o)
		}
	}
	return found
}
