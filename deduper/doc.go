// Package deduper remembers what happened to idempotency keys, so that a key runs at most once and an answer never
// says "not run" of a key that ran. It is a core: it performs no input or output, has no clock and is not safe for
// concurrent use. Time is passed as now (monotonic) and wall (Unix milliseconds).
//
// # Driving a Deduper
//
// A node keeps one Deduper for the keys of its service. For each non-idempotent call that reaches it:
//
//  1. Calls.Begin recognises a repeated or fenced call frame.
//  2. owner.Decide gives a verdict for the key; its fields go into an Arrival.
//  3. Deduper.Arrive returns ActionRun (queue it for admission), ActionJoin (wait for the running call) or ActionAnswer
//     (return Decision.Answer). If the verdict says that the home moved, the node may send the call to the other home
//     in place of returning the answer.
//  4. Right before dispatch the node calls owner.Check. If that fails, or if admission refuses the call, nothing is
//     dispatched and the node calls Finish with a 2xx code.
//  5. Finish is called exactly once for each ActionRun, with the outcome: the upstream's answer, a 2xx code only if no
//     byte reached the upstream, and a 3xx code otherwise. Its return value is the answer for the runner and all that
//     joined. If the key moved meanwhile, ExportLate returns the message for its new home.
//
// A node that is not the home claims "not run" for a first send only. The fence of an outcome query speaks about one
// call, not about its key; the ingress node turns it into "not run" for a first send only, and into code 308 otherwise.
// Tick is called about once a second.
//
// After an epoch is adopted, Export returns the messages for each new home; they may be sent repeatedly. Import takes
// them in; when it reports completeness, the node calls owner.HandoverDone.
package deduper
