package caller

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hornbeamcroft"
)

// Report is the account of a load. Counts are of actions unless they say sends.
type Report struct {
	Settings Settings `json:"settings"`
	// Start is the Unix time in nanoseconds from which the seconds of the series count.
	Start int64 `json:"start"`
	// Unsent counts arrivals beyond the bound on actions in flight.
	Unsent int               `json:"unsent"`
	Total  Count             `json:"total"`
	Types  map[string]*Count `json:"types"`
	// Actions are left out of the JSON output unless asked for.
	Actions []Action `json:"actions,omitempty"`
}

// Count is the account of one request type or of all.
type Count struct {
	Offered int `json:"offered"`
	// Whole counts actions with a whole answer to the own request, on any send.
	Whole   int            `json:"whole"`
	Sends   int            `json:"sends"`
	Results map[Result]int `json:"results"`
	// Codes counts sends by result code; "none" if there was no answer or no code.
	Codes map[string]int `json:"codes"`
	// Claims counts sends by claim; "none" if there was no answer or no claim.
	Claims map[string]int `json:"claims"`
	// Latency is that of whole answers.
	Latency Latency `json:"latency"`
	// OfferedPerSecond counts by the second of arrival.
	OfferedPerSecond []int `json:"offered-per-second"`
	// WholePerSecond counts by the second in which the answer was complete.
	WholePerSecond []int `json:"whole-per-second"`

	histogram *hdrhistogram.Histogram
}

// Latency holds quantiles in milliseconds.
type Latency struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p99.9"`
	Max  float64 `json:"max"`
}

// Range and precision of latency histograms, in microseconds.
const (
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// NewReport accounts for the actions.
func NewReport(cfg Settings, actions []Action) Report {
	r := Report{Settings: cfg, Types: make(map[string]*Count), Actions: actions, Total: newCount()}
	for _, m := range cfg.Mix {
		c := newCount()
		r.Types[m.Target] = &c
	}
	for _, a := range actions {
		r.Total.add(a)
		r.Types[a.Target].add(a)
	}
	r.Total.Latency = quantiles(r.Total.histogram)
	for _, c := range r.Types {
		c.Latency = quantiles(c.histogram)
	}
	return r
}

func newCount() Count {
	return Count{
		Results: make(map[Result]int), Codes: make(map[string]int), Claims: make(map[string]int),
		histogram: hdrhistogram.New(1, histogramMax, histogramDigits),
	}
}

func (c *Count) add(a Action) {
	c.Offered++
	c.Sends += len(a.Sends)
	c.OfferedPerSecond = increment(c.OfferedPerSecond, a.At)
	for _, s := range a.Sends {
		c.Results[s.Result]++
		c.Codes[codeName(s.Code)]++
		c.Claims[claimName(s.Claim)]++
	}
	if !a.Whole() {
		return
	}
	c.Whole++
	c.WholePerSecond = increment(c.WholePerSecond, a.At+a.Latency)
	_ = c.histogram.RecordValue(min(a.Latency.Microseconds(), histogramMax))
}

func codeName(code hornbeamcroft.Code) string {
	if code == 0 {
		return "none"
	}
	return code.String()
}

func claimName(claim string) string {
	if claim == "" {
		return "none"
	}
	return claim
}

// increment adds one to the second of at and lengthens the series if needed.
func increment(series []int, at time.Duration) []int {
	second := int(at / time.Second)
	if n := second + 1 - len(series); n > 0 {
		series = slices.Concat(series, make([]int, n))
	}
	series[second]++
	return series
}

func quantiles(h *hdrhistogram.Histogram) Latency {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Latency{P50: ms(50), P90: ms(90), P99: ms(99), P999: ms(99.9), Max: float64(h.Max()) / 1000}
}
