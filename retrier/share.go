package retrier

// ShareRule returns the part of the budget held by a parent that the next child call gets. The Retrier bounds the
// result to 0 to held.
type ShareRule func(held int) int

// HalfShare gives half, rounded up: a parent that holds at least 2 keeps some budget in case an answer is lost, and the
// last unit still reaches a deep call.
func HalfShare(held int) int { return (held + 1) / 2 }

// WholeShare gives everything. One lost answer then ends all retries of the parent.
func WholeShare(held int) int { return held }
