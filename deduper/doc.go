// Package deduper records the outcome of requests by idempotency key, so that the request of a key runs at most once
// and is never answered with "not run" after it ran. The package performs no I/O, has no clock and is not safe for
// concurrent use. Time is passed in as now (monotonic) and wall (Unix milliseconds).
//
// # Using a Deduper
//
// A node has one Deduper for the keys of its service. For each non-idempotent call that reaches the node:
//
//  1. Calls.Begin recognizes a repeated or fenced call frame.
//  2. owner.Decide returns a verdict for the key, whose fields are copied into an Arrival.
//  3. Deduper.Arrive returns ActionRun (queue the call for admission), ActionJoin (wait for the running call) or
//     ActionAnswer (return Decision.Answer). If the verdict says that the key has another home, the node may forward
//     the call to that home instead of returning the answer.
//  4. Right before it dispatches the call, the node calls owner.MayDispatch. If the check fails, or if admission refuses the
//     call, the node dispatches nothing and calls Finish with a code that claims "not run".
//  5. Finish is called exactly once for each ActionRun, with the outcome: the upstream's answer, a code
//     that claims "not run" only if no byte reached the upstream, and a code that claims "may have run" otherwise. It
//     returns the answer for the sender that runs the call and for all that joined it. If the key moved to another home
//     meanwhile, ExportLateOutcome returns the message for that home.
//
// A node that is not the home of a key claims "not run" for a first send only. An outcome query fences one call, not
// the key of the call. The ingress node therefore answers a fenced call with "not run" for a first send only, and with
// CodeEarlierSendUnknown otherwise. The node calls Tick about once a second.
//
// When the node adopts an epoch, Export returns the messages for each new home; they may be sent repeatedly. The new
// home passes them to Import and, when Import reports that the export is complete, calls owner.RecordHandover.
package deduper
