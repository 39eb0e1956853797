package sloreporter

import (
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

const (
	// maxNameLength bounds the names in Counts, in bytes.
	maxNameLength = 128
	// maxRequestTypes bounds the memory of a node: 256 request types take 9 MB.
	maxRequestTypes = 256
	// maxTickGap is the longest time between two ticks that counts as covered. After a longer gap the process may have
	// been paused and counted no requests.
	maxTickGap = 5 * time.Second
	// maxClockLead bounds how far the windows of another node may be ahead of the clock of this node.
	maxClockLead = time.Minute
	// maxMergedIDs bounds the number of IDs that are kept to recognise Counts that arrive again. All IDs are dropped when
	// it is reached.
	maxMergedIDs = 1024
)

// Outcome is the result of a request as its caller sees it.
type Outcome uint8

// The outcomes.
const (
	// OutcomeGood is an answer within the time that the objective sets, or any answer if it sets no time.
	OutcomeGood Outcome = iota
	// OutcomeBad is a failure, or no answer by the deadline.
	OutcomeBad
	// OutcomeSlow is an answer after the time that the objective sets.
	OutcomeSlow
	// OutcomeRefused is a request that was shed or refused and did not run. Requests that are refused because of a mistake
	// of the caller must not be recorded.
	OutcomeRefused
)

// Counts holds what one node counted for one request type. It is a message between nodes and an element of a snapshot.
type Counts struct {
	Node string `cbor:"1,keyasint" json:"node"`
	// Incarnation is the incarnation of the node. With Node, Service and Request it identifies the Counts.
	Incarnation uint64 `cbor:"2,keyasint" json:"incarnation"`
	// Since is the time at which this incarnation of the node began to count, in Unix milliseconds.
	Since   int64  `cbor:"3,keyasint" json:"since"`
	Service string `cbor:"4,keyasint" json:"service"`
	Request string `cbor:"5,keyasint" json:"request"`
	// Fine and Coarse hold the same counts in windows of FineLength and CoarseLength, oldest first.
	Fine   []Window `cbor:"6,keyasint" json:"fine"`
	Coarse []Window `cbor:"7,keyasint" json:"coarse"`
}

// Check returns an error if a name is empty or too long, or if there are too many windows or they are out of order.
func (c Counts) Check() error {
	for _, s := range []string{c.Node, c.Service, c.Request} {
		if s == "" || len(s) > maxNameLength {
			return errors.Errorf("counts: name of %d bytes: must be 1 to %d", len(s), maxNameLength)
		}
	}
	if err := checkWindows(c.Fine, FineCount); err != nil {
		return err
	}
	return checkWindows(c.Coarse, CoarseCount)
}

// series holds the windows of one request type.
type series struct {
	service, request string
	fine, coarse     ring
	// coveredUntil is the time of the last tick, up to which coverage was added.
	coveredUntil time.Time
}

// Reporter counts the requests that enter at one node.
type Reporter struct {
	node        string
	incarnation uint64
	since       time.Time
	last        time.Time
	// types holds the series of the registered request types by "service/request".
	types map[string]*series
	// mergedIDs holds the IDs of the Counts that Merge has added.
	mergedIDs map[string]bool
}

// New returns a Reporter that begins to count at the time wall.
func New(wall time.Time, node string, incarnation uint64) *Reporter {
	return &Reporter{
		node: node, incarnation: incarnation, since: wall, last: wall,
		types: map[string]*series{}, mergedIDs: map[string]bool{},
	}
}

// Register begins to count a request type at the time wall. Registering it again changes nothing. It fails if 256 types
// are registered.
func (r *Reporter) Register(wall time.Time, service, request string) error {
	name := service + "/" + request
	if r.types[name] != nil {
		return nil
	}
	if len(r.types) >= maxRequestTypes {
		return errors.Errorf("slo reporter: cannot register %s: more than %d request types", name, maxRequestTypes)
	}
	r.types[name] = &series{
		service: service, request: request, coveredUntil: wall,
		fine: newRing(FineLength, FineCount), coarse: newRing(CoarseLength, CoarseCount),
	}
	return nil
}

// Tick adds the time since the last tick to the coverage of all request types. It adds nothing if that time exceeds 5 s,
// for example after a pause of the process, or if the clock went back.
func (r *Reporter) Tick(wall time.Time) {
	for _, s := range r.types {
		if d := wall.Sub(s.coveredUntil); d > 0 && d <= maxTickGap {
			s.fine.addCoverage(s.coveredUntil, wall)
			s.coarse.addCoverage(s.coveredUntil, wall)
		}
		s.coveredUntil = wall
	}
	r.last = wall
}

// Record counts one request. Requests of types that are not registered are ignored.
func (r *Reporter) Record(wall time.Time, service, request string, o Outcome) {
	s := r.types[service+"/"+request]
	if s == nil {
		return
	}
	for _, ring := range []*ring{&s.fine, &s.coarse} {
		w := ring.windowFor(ring.index(wall))
		if w == nil {
			continue // the clock went back by more than the time span of the ring
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

// Snapshot returns the counts of all request types, sorted by "service/request".
func (r *Reporter) Snapshot(wall time.Time) []Counts {
	var out []Counts
	for _, name := range slices.Sorted(maps.Keys(r.types)) {
		s := r.types[name]
		out = append(out, Counts{
			Node: r.node, Incarnation: r.incarnation, Since: r.since.UnixMilli(), Service: s.service, Request: s.request,
			Fine: s.fine.nonEmpty(wall), Coarse: s.coarse.nonEmpty(wall),
		})
	}
	return out
}

// Merge adds the counts of a node that stops to those of this node. Counts that were added before are ignored. c must
// have passed Check.
func (r *Reporter) Merge(wall time.Time, c Counts) error {
	id := c.Node + "/" + c.Service + "/" + c.Request + "/" + time.UnixMilli(int64(c.Incarnation)).String()
	if c.Node == r.node && c.Incarnation == r.incarnation {
		return errors.New("slo reporter: cannot add the counts of this node to themselves")
	}
	if r.mergedIDs[id] {
		return nil
	}
	if len(r.mergedIDs) >= maxMergedIDs {
		clear(r.mergedIDs)
	}
	if err := r.Register(wall, c.Service, c.Request); err != nil {
		return err
	}
	r.mergedIDs[id] = true
	s := r.types[c.Service+"/"+c.Request]
	s.fine.merge(wall, c.Fine)
	s.coarse.merge(wall, c.Coarse)
	return nil
}

// merge adds windows. It skips those that are too old for the ring and those more than maxClockLead ahead of wall, which
// would displace current ones.
func (r *ring) merge(wall time.Time, windows []Window) {
	first, last := r.index(wall)-int64(len(r.windows))+1, r.index(wall.Add(maxClockLead))
	for _, o := range windows {
		if o.Index < first || o.Index > last {
			continue
		}
		if w := r.windowFor(o.Index); w != nil {
			w.add(o)
		}
	}
}
