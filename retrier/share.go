package retrier

// ShareRule returns the part of the budget held by a parent that goes with its next child call. The Retrier limits the
// result to the range from 0 to held.
type ShareRule func(held int) int

// HalfShare gives half of the held budget, rounded up. A parent that holds at least 2 units keeps some of them in case
// an answer is lost, and a single unit is still passed on to calls deeper in the call graph.
func HalfShare(held int) int { return (held + 1) / 2 }

// WholeShare gives the whole held budget. If the answer of that child call is lost, the parent can no longer retry
// anything.
func WholeShare(held int) int { return held }
