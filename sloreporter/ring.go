package sloreporter

import (
	"time"

	"github.com/go-faster/errors"
)

// The two rings of a request type hold 1,129 windows of 32 bytes, together 36 KB.
const (
	// FineLength is the length of the windows for burn rates up to 6 hours.
	FineLength = time.Minute
	// FineCount is the number of fine windows: 6 hours and the current window.
	FineCount = 6*60 + 1
	// CoarseLength is the length of the windows for longer burn rates and the error budget.
	CoarseLength = time.Hour
	// CoarseCount is the number of coarse windows: 32 days.
	CoarseCount = 32 * 24
)

// Window holds the counts of one time window.
type Window struct {
	// Index is the start of the window since the Unix epoch, in units of the length of the window.
	Index int64 `cbor:"1,keyasint" json:"index"`
	// Good, Bad, Slow and Refused are the numbers of requests by Outcome.
	Good    uint32 `cbor:"2,keyasint,omitempty" json:"good"`
	Bad     uint32 `cbor:"3,keyasint,omitempty" json:"bad"`
	Slow    uint32 `cbor:"4,keyasint,omitempty" json:"slow"`
	Refused uint32 `cbor:"5,keyasint,omitempty" json:"refused"`
	// Covered is the time in milliseconds during which nodes counted requests, summed over the nodes.
	Covered uint64 `cbor:"6,keyasint,omitempty" json:"covered-ms"`
}

// add adds the counts and the coverage of o to w.
func (w *Window) add(o Window) {
	w.Good += o.Good
	w.Bad += o.Bad
	w.Slow += o.Slow
	w.Refused += o.Refused
	w.Covered += o.Covered
}

// total returns the number of requests.
func (w Window) total() float64 {
	return float64(w.Good) + float64(w.Bad) + float64(w.Slow) + float64(w.Refused)
}

// ring holds the newest windows of one length. The window with index i is element i modulo len(windows).
type ring struct {
	length  time.Duration
	windows []Window
}

func newRing(length time.Duration, count int) ring {
	return ring{length: length, windows: make([]Window, count)}
}

// windowFor returns the window with the index for writing. It resets the element if that holds an older window, and
// returns nil if the element holds a newer one.
func (r *ring) windowFor(index int64) *Window {
	w := &r.windows[index%int64(len(r.windows))]
	if w.Index > index {
		return nil
	}
	if w.Index < index {
		*w = Window{Index: index}
	}
	return w
}

// index returns the index of the window that contains wall.
func (r *ring) index(wall time.Time) int64 { return wall.UnixMilli() / r.length.Milliseconds() }

// addCoverage adds the time between from and to to the coverage of the windows that it overlaps.
func (r *ring) addCoverage(from, to time.Time) {
	for from.Before(to) {
		i := r.index(from)
		end := time.UnixMilli((i + 1) * r.length.Milliseconds())
		if end.After(to) {
			end = to
		}
		if w := r.windowFor(i); w != nil {
			w.Covered += uint64(end.Sub(from).Milliseconds())
		}
		from = end
	}
}

// nonEmpty returns the windows within the time span of the ring that hold counts or coverage, oldest first.
func (r *ring) nonEmpty(wall time.Time) []Window {
	var out []Window
	last := r.index(wall)
	for i := last - int64(len(r.windows)) + 1; i <= last; i++ {
		if w := r.windows[i%int64(len(r.windows))]; w.Index == i && (w.Covered > 0 || w.total() > 0) {
			out = append(out, w)
		}
	}
	return out
}

// checkWindows returns an error if there are more windows than limit or their indexes are not positive and ascending.
func checkWindows(windows []Window, limit int) error {
	if len(windows) > limit {
		return errors.Errorf("counts: %d windows: must be at most %d", len(windows), limit)
	}
	last := int64(0)
	for _, w := range windows {
		if w.Index <= last {
			return errors.Errorf("counts: window index %d follows %d: indexes must be positive and ascending", w.Index, last)
		}
		last = w.Index
	}
	return nil
}
