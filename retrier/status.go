package retrier

// Counts are totals since the start of the Retrier, for metrics.
type Counts struct {
	// FirstSends is the number of first sends of child calls, which cost no budget.
	FirstSends uint64 `json:"first-sends"`
	// Retries is the number of retries, each of which costs one unit of the budget.
	Retries uint64 `json:"repeats"`
	// Refused is the number of retries refused because the budget was spent.
	Refused uint64 `json:"refused"`
	// Reroutes is the number of free resends after a refusal by a node that is draining or no longer the home of the
	// key.
	Reroutes uint64 `json:"reroutes"`
	// LostUnits is the number of budget units given to child calls whose answer was lost.
	LostUnits uint64 `json:"lost-units"`
	// LateReturns is the number of returns ignored because the attempt had already ended.
	LateReturns uint64 `json:"late-returns"`
}

// Counts returns the totals since the start.
func (t *Retrier) Counts() Counts { return t.counts }

func (c *Counts) addSend(retry bool) {
	if retry {
		c.Retries++
	} else {
		c.FirstSends++
	}
}
