package sloreporter

import (
	"time"

	"github.com/go-faster/errors"
)

// The two rings of a request type take 1,129 windows of 32 bytes, 36 KB.
const (
	// FineLength is the length of the windows for burn rates up to 6 hours.
	FineLength = time.Minute
	// FineCount covers 6 hours and the window under way.
	FineCount = 6*60 + 1
	// CoarseLength is the length of the windows for longer burn rates and the error budget.
	CoarseLength = time.Hour
	// CoarseCount covers 32 days.
	CoarseCount = 32 * 24
)

// Window holds the counts of one stretch of time.
type Window struct {
	// Index is the start of the window in units of its length since 1970.
	Index int64 `cbor:"1,keyasint" json:"index"`
	// Good requests were answered in time, Slow ones later. Bad ones failed or got no answer. Refused ones did not run.
	Good    uint32 `cbor:"2,keyasint,omitempty" json:"good"`
	Bad     uint32 `cbor:"3,keyasint,omitempty" json:"bad"`
	Slow    uint32 `cbor:"4,keyasint,omitempty" json:"slow"`
	Refused uint32 `cbor:"5,keyasint,omitempty" json:"refused"`
	// Covered is the time for which nodes counted, in milliseconds, summed over the nodes.
	Covered uint64 `cbor:"6,keyasint,omitempty" json:"covered-ms"`
}

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

// ring holds the newest windows of one length.
type ring struct {
	length  time.Duration
	windows []Window
}

func newRing(length time.Duration, count int) ring {
	return ring{length: length, windows: make([]Window, count)}
}

// at returns the window with the index, emptied if it held an older one; nil if the index is too old.
func (r *ring) at(index int64) *Window {
	w := &r.windows[index%int64(len(r.windows))]
	if w.Index > index {
		return nil
	}
	if w.Index < index {
		*w = Window{Index: index}
	}
	return w
}

func (r *ring) index(wall time.Time) int64 { return wall.UnixMilli() / r.length.Milliseconds() }

// cover notes that the time from one moment to the other was counted, split at the ends of windows.
func (r *ring) cover(from, to time.Time) {
	for from.Before(to) {
		i := r.index(from)
		end := time.UnixMilli((i + 1) * r.length.Milliseconds())
		if end.After(to) {
			end = to
		}
		if w := r.at(i); w != nil {
			w.Covered += uint64(end.Sub(from).Milliseconds())
		}
		from = end
	}
}

// used returns the windows that hold anything and are not older than the ring is long.
func (r *ring) used(wall time.Time) []Window {
	var out []Window
	last := r.index(wall)
	for i := last - int64(len(r.windows)) + 1; i <= last; i++ {
		if w := r.windows[i%int64(len(r.windows))]; w.Index == i && (w.Covered > 0 || w.total() > 0) {
			out = append(out, w)
		}
	}
	return out
}

func checkWindows(windows []Window, limit int) error {
	if len(windows) > limit {
		return errors.Errorf("counts: %d windows: allowed are at most %d", len(windows), limit)
	}
	last := int64(0)
	for _, w := range windows {
		if w.Index <= last {
			return errors.Errorf("counts: window %d after %d: need ascending positive indexes", w.Index, last)
		}
		last = w.Index
	}
	return nil
}
