// Package explainer gathers the log lines of several nodes about one request and arranges them in causal order. The
// clocks of hosts differ, so times are shown but not compared between hosts.
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

// Messages of the log lines that the explainer tells apart. All but messageOmitted are
// about one request.
const (
	messageRequest  = "courier: request"
	messageCall     = "runner: call"
	messageRejected = "way-in: request rejected"
	messageNoRoute  = "way-in: no route"
	messageOmitted  = "recorder: lines left out"
)

const (
	// contextWindow is the time before and after a line about the request in which other lines of the same node are
	// taken as its context.
	contextWindow = 2 * time.Second
	// maxContextLines bounds the context lines of a step, for each of its lines about the request.
	maxContextLines = 6
	// maxLineBytes bounds the length of a log line. Reading a log with a longer line fails.
	maxLineBytes = 1 << 20
)

// Line is one line of a node's log.
type Line struct {
	Node string `json:"node"`
	// Time is by the clock of the node's host. It is zero if the line has no valid time.
	Time    time.Time `json:"time"`
	Message string    `json:"message"`
	// Fields holds all fields of the line, also its time, level, message and id.
	Fields map[string]any `json:"fields"`
}

// stringField returns the field with the name, or "" if it is missing or not a string.
func (l Line) stringField(name string) string {
	s, _ := l.Fields[name].(string)
	return s
}

// Step holds the log lines about one attempt and the steps of the calls that it made. In causal order, Runs come first,
// then Calls, and last Entered, which is logged with the answer.
type Step struct {
	// Attempt is the attempt ID. The ID of a call is that of the attempt that made it, followed by a dot and a suffix.
	Attempt string `json:"attempt"`
	// Entered is the log line of the node at which the attempt entered the platform. It is nil if that line was omitted
	// under load or the log of that node was not read.
	Entered *Line `json:"entered,omitempty"`
	// Runs holds the log lines of the nodes whose upstreams the attempt was sent to, in the order of the sends if Entered is
	// set.
	Runs []Line `json:"runs,omitempty"`
	// Context holds the other lines that the nodes of Entered and Runs logged within 2 s of these lines.
	Context []Line `json:"context,omitempty"`
	// Calls holds the steps of the calls that the attempt made.
	Calls []*Step `json:"calls,omitempty"`
}

// Explainer gathers the log lines about one request. ID must be set before the first Read.
type Explainer struct {
	// ID is the ID of the attempt to explain.
	ID string

	// requestLines holds the lines about the attempt and its calls, otherLines those that are not about any request.
	requestLines []Line
	otherLines   []Line
}

// Read reads the log of one node. name is the name of the node up to the line in which the log states another one. Text
// before the first brace of a line and lines that are not JSON are skipped, because a log may begin in the middle of a
// line.
func (e *Explainer) Read(name string, r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
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
		l.Message = l.stringField("message")
		l.Time, _ = time.Parse(time.RFC3339Nano, l.stringField("time"))
		if own := l.stringField("name"); l.Message == "agent: started" && own != "" {
			name = own
		}
		e.add(l)
	}
	if err := s.Err(); err != nil {
		return errors.Wrap(err, name)
	}
	return nil
}

// add stores a line unless it is about another request.
func (e *Explainer) add(l Line) {
	switch l.Message {
	case messageRequest, messageCall, messageRejected, messageNoRoute:
		if id := l.stringField("id"); id == e.ID || strings.HasPrefix(id, e.ID+".") {
			e.requestLines = append(e.requestLines, l)
		}
	default:
		e.otherLines = append(e.otherLines, l)
	}
}

// Explain returns the step of the attempt, or an error if no line is about the attempt or its calls.
func (e *Explainer) Explain() (*Step, error) {
	if len(e.requestLines) == 0 {
		return nil, errors.Errorf("no line about %q: lines may have been omitted under load, which the metrics log/omitted count", e.ID)
	}
	ids := make([]string, 0, len(e.requestLines))
	for _, l := range e.requestLines {
		ids = append(ids, l.stringField("id"))
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
		e.addLines(s)
	}
	return root, nil
}

// parentOf returns the step with the longest attempt ID that is a prefix of id before a dot.
func parentOf(steps map[string]*Step, id string) *Step {
	for i := len(id) - 1; i > 0; i-- {
		if p := steps[id[:i]]; p != nil && id[i] == '.' {
			return p
		}
	}
	return nil
}

// addLines adds the lines about the attempt of s. Runs follow the order of the hosts in the line Entered, because an attempt
// is sent to one host after the other and the clocks of hosts cannot be compared.
func (e *Explainer) addLines(s *Step) {
	for _, l := range e.requestLines {
		if l.stringField("id") != s.Attempt {
			continue
		}
		if l.Message == messageCall {
			s.Runs = append(s.Runs, l)
			continue
		}
		s.Entered = &l
	}
	if s.Entered != nil {
		hosts := strings.Fields(s.Entered.stringField("hosts"))
		slices.SortStableFunc(s.Runs, func(a, b Line) int { return slices.Index(hosts, a.Node) - slices.Index(hosts, b.Node) })
	}
	s.Context = e.context(s)
}

// context returns the lines that the nodes of s logged within contextWindow of the lines of s and that are not about any
// request.
func (e *Explainer) context(s *Step) []Line {
	lines := slices.Clone(s.Runs)
	if s.Entered != nil {
		lines = append(lines, *s.Entered)
	}
	var found []Line
	for _, o := range e.otherLines {
		if o.Message == messageOmitted || len(found) >= maxContextLines*len(lines) {
			continue
		}
		if slices.ContainsFunc(lines, func(l Line) bool { return l.Node == o.Node && l.Time.Sub(o.Time).Abs() <= contextWindow }) {
			found = append(found, o)
		}
	}
	return found
}
