package retrier

// Counts are numbers since the start, for metrics.
type Counts struct {
	// FirstSends counts the first occurrences of child calls, which are free.
	FirstSends uint64 `json:"first-sends"`
	// Repeats counts the sends that cost one unit.
	Repeats uint64 `json:"repeats"`
	// Refused counts the repeats refused for lack of budget.
	Refused uint64 `json:"refused"`
	// Reroutes counts the free sends after a refusal by an upstream that drains or has moved.
	Reroutes uint64 `json:"reroutes"`
	// LostUnits counts the budget lost with answers.
	LostUnits uint64 `json:"lost-units"`
	// LateReturns counts the returns dropped because the attempt was over.
	LateReturns uint64 `json:"late-returns"`
}

// Counts returns the numbers since the start.
func (t *Retrier) Counts() Counts { return t.counts }

func (c *Counts) add(repeat bool) {
	if repeat {
		c.Repeats++
	} else {
		c.FirstSends++
	}
}
