package sloreporter

import (
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

const (
	maxNameLength = 128
	// maxTypes bounds the memory of a node: 256 types take 9 MB.
	maxTypes = 256
	// maxTickGap is the longest time between ticks that counts as covered. A paused node did not count.
	maxTickGap = 5 * time.Second
	// maxAhead bounds how far the windows of another node may be ahead of the own clock.
	maxAhead = time.Minute
	// maxAdopted bounds the memory of what was taken over, to recognise a repetition.
	maxAdopted = 1024
)

// Outcome is how a request ended for its caller.
type Outcome uint8

// The outcomes.
const (
	// OutcomeGood is an answer in the time of the objective, or any answer if there is no such time.
	OutcomeGood Outcome = iota
	// OutcomeBad is a failure, or no answer by the deadline.
	OutcomeBad
	// OutcomeSlow is an answer after the time of the objective.
	OutcomeSlow
	// OutcomeRefused is a request that was shed or refused and did not run. The caller's own mistakes are not counted.
	OutcomeRefused
)

// Counts is what one node counted for one request type, a message between nodes and an element of a snapshot.
type Counts struct {
	Node string `cbor:"1,keyasint" json:"node"`
	// Incarnation is that of the node; with Node and the type it identifies what was counted.
	Incarnation uint64 `cbor:"2,keyasint" json:"incarnation"`
	// Since is when this start of the node began to count, in Unix milliseconds.
	Since   int64  `cbor:"3,keyasint" json:"since"`
	Service string `cbor:"4,keyasint" json:"service"`
	Request string `cbor:"5,keyasint" json:"request"`
	// Fine and Coarse hold the same counts in windows of FineLength and CoarseLength, in ascending order.
	Fine   []Window `cbor:"6,keyasint" json:"fine"`
	Coarse []Window `cbor:"7,keyasint" json:"coarse"`
}

// Check reports whether the message is well formed.
func (c Counts) Check() error {
	for _, s := range []string{c.Node, c.Service, c.Request} {
		if s == "" || len(s) > maxNameLength {
			return errors.Errorf("counts: name of %d bytes: allowed are 1 to %d", len(s), maxNameLength)
		}
	}
	if err := checkWindows(c.Fine, FineCount); err != nil {
		return err
	}
	return checkWindows(c.Coarse, CoarseCount)
}

// series holds the rings of one request type.
type series struct {
	service, request string
	fine, coarse     ring
	covered          time.Time
}

// Reporter counts the requests that enter at one node.
type Reporter struct {
	node        string
	incarnation uint64
	since       time.Time
	last        time.Time
	types       map[string]*series
	adopted     map[string]bool
}

// New returns a Reporter that begins to count now.
func New(wall time.Time, node string, incarnation uint64) *Reporter {
	return &Reporter{
		node: node, incarnation: incarnation, since: wall, last: wall,
		types: map[string]*series{}, adopted: map[string]bool{},
	}
}

// Register begins to count a request type. Registering it again changes nothing.
func (r *Reporter) Register(wall time.Time, service, request string) error {
	name := service + "/" + request
	if r.types[name] != nil {
		return nil
	}
	if len(r.types) >= maxTypes {
		return errors.Errorf("slo reporter: %s: more than %d request types", name, maxTypes)
	}
	r.types[name] = &series{
		service: service, request: request, covered: wall,
		fine: newRing(FineLength, FineCount), coarse: newRing(CoarseLength, CoarseCount),
	}
	return nil
}

// Tick notes the time that was counted. After a pause or a step of the clock, the time between does not count.
func (r *Reporter) Tick(wall time.Time) {
	for _, s := range r.types {
		if d := wall.Sub(s.covered); d > 0 && d <= maxTickGap {
			s.fine.cover(s.covered, wall)
			s.coarse.cover(s.covered, wall)
		}
		s.covered = wall
	}
	r.last = wall
}

// Record counts one request. Types that are not registered are ignored.
func (r *Reporter) Record(wall time.Time, service, request string, o Outcome) {
	s := r.types[service+"/"+request]
	if s == nil {
		return
	}
	for _, ring := range []*ring{&s.fine, &s.coarse} {
		w := ring.at(ring.index(wall))
		if w == nil {
			continue // the clock went back by more than the ring is long
		}
		switch o {
		case OutcomeGood:
			w.Good++
		case OutcomeBad:
			w.Bad++
		case OutcomeSlow:
			w.Slow++
		case OutcomeRefused:
			w.Refused++
		}
	}
}

// Snapshot returns the counts of all types, by name.
func (r *Reporter) Snapshot(wall time.Time) []Counts {
	var out []Counts
	for _, name := range slices.Sorted(maps.Keys(r.types)) {
		s := r.types[name]
		out = append(out, Counts{
			Node: r.node, Incarnation: r.incarnation, Since: r.since.UnixMilli(), Service: s.service, Request: s.request,
			Fine: s.fine.used(wall), Coarse: s.coarse.used(wall),
		})
	}
	return out
}

// Adopt adds the counts of a node that stops. A repetition is ignored. The counts have passed Check.
func (r *Reporter) Adopt(wall time.Time, c Counts) error {
	id := c.Node + "/" + c.Service + "/" + c.Request + "/" + time.UnixMilli(int64(c.Incarnation)).String()
	if c.Node == r.node && c.Incarnation == r.incarnation {
		return errors.New("slo reporter: own counts cannot be adopted")
	}
	if r.adopted[id] {
		return nil
	}
	if len(r.adopted) >= maxAdopted {
		clear(r.adopted)
	}
	if err := r.Register(wall, c.Service, c.Request); err != nil {
		return err
	}
	r.adopted[id] = true
	s := r.types[c.Service+"/"+c.Request]
	s.fine.adopt(wall, c.Fine)
	s.coarse.adopt(wall, c.Coarse)
	return nil
}

// adopt adds windows. Those ahead of the own clock would displace current ones and are left out.
func (r *ring) adopt(wall time.Time, windows []Window) {
	first, last := r.index(wall)-int64(len(r.windows))+1, r.index(wall.Add(maxAhead))
	for _, o := range windows {
		if o.Index < first || o.Index > last {
			continue
		}
		if w := r.at(o.Index); w != nil {
			w.add(o)
		}
	}
}
