package caller

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hornbeamcroft"
)

// Report summarizes a load. Numbers count actions unless their comment says that they count sends.
type Report struct {
	Settings Settings `json:"settings"`
	// Start is the Unix time in nanoseconds at which the load started; the first second of the series begins there.
	Start int64 `json:"start"`
	// Unsent counts arrivals that were not sent because maxInFlight was reached.
	Unsent int   `json:"unsent"`
	Total  Count `json:"total"`
	// Types holds the counts by target.
	Types map[string]*Count `json:"types"`
	// Actions are part of the JSON output only if the flag --actions is set.
	Actions []Action `json:"actions,omitempty"`
}

// Count holds the counts of one request type or of all.
type Count struct {
	// Offered counts the actions that were sent at least once.
	Offered int `json:"offered"`
	// Succeeded counts the actions that succeeded, on whichever send.
	Succeeded int `json:"whole"`
	Sends     int `json:"sends"`
	// Results counts sends by result.
	Results map[Result]int `json:"results"`
	// Codes counts sends by result code; "none" if there was no answer or no code.
	Codes map[string]int `json:"codes"`
	// Claims counts sends by claim; "none" if there was no answer or no claim.
	Claims map[string]int `json:"claims"`
	// Latency is that of the actions that succeeded.
	Latency Latency `json:"latency"`
	// OfferedPerSecond counts actions by the second of their arrival.
	OfferedPerSecond []int `json:"offered-per-second"`
	// SucceededPerSecond counts the actions that succeeded by the second in which their answer was complete.
	SucceededPerSecond []int `json:"whole-per-second"`

	histogram *hdrhistogram.Histogram
}

// Latency holds latency quantiles and the maximum in milliseconds.
type Latency struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p99.9"`
	Max  float64 `json:"max"`
}

// Latency histograms hold values of 1 to histogramMax microseconds with histogramDigits significant digits.
const (
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// NewReport counts the actions. Each action's target must be in cfg.Mix.
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

// add counts one action.
func (c *Count) add(a Action) {
	c.Offered++
	c.Sends += len(a.Sends)
	c.OfferedPerSecond = increment(c.OfferedPerSecond, a.At)
	for _, s := range a.Sends {
		c.Results[s.Result]++
		c.Codes[codeLabel(s.Code)]++
		c.Claims[claimLabel(s.Claim)]++
	}
	if !a.Succeeded() {
		return
	}
	c.Succeeded++
	c.SucceededPerSecond = increment(c.SucceededPerSecond, a.At+a.Latency)
	_ = c.histogram.RecordValue(min(a.Latency.Microseconds(), histogramMax))
}

// codeLabel returns the key of Count.Codes for a code.
func codeLabel(code hornbeamcroft.Code) string {
	if code == 0 {
		return "none"
	}
	return code.String()
}

// claimLabel returns the key of Count.Claims for a claim.
func claimLabel(claim string) string {
	if claim == "" {
		return "none"
	}
	return claim
}

// increment adds one to the element of the series for the second that contains at, and extends the series if needed.
func increment(series []int, at time.Duration) []int {
	second := int(at / time.Second)
	if n := second + 1 - len(series); n > 0 {
		series = slices.Concat(series, make([]int, n))
	}
	series[second]++
	return series
}

// quantiles converts a histogram of microseconds.
func quantiles(h *hdrhistogram.Histogram) Latency {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Latency{P50: ms(50), P90: ms(90), P99: ms(99), P999: ms(99.9), Max: float64(h.Max()) / 1000}
}
