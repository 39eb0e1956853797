// Package owner decides which node of a service may run a request with a given idempotency key, and until when. It is
// a core: it performs no input or output, has no clock and is not safe for concurrent use.
//
// # Driving an Owner
//
// A node makes one Owner for its service at start, sets the exported fields and calls Tick every TickInterval. Every
// method that returns an Output may ask for messages to be sent and for store requests. The node
//
//   - sends each Output.Send to the named member; loss, delay and repetition are allowed;
//   - performs each Output.Store request and passes the outcome to HandleStore with the request's ID. A request
//     without an outcome may be dropped silently, the Owner asks again;
//   - passes received messages to Receive, with the name that the link's hello proved;
//   - passes epochs read by a relay to ObserveRead, with the time at which it asked the relay and the age that the
//     relay reported;
//   - calls SetTarget with the live members of the service, with drive set if it is the member that should change
//     rosters (for example the live member of lowest rank). Two members that drive do no harm;
//   - on Output.Adopted calls deduper.Export and sends the records of the keys that moved away to their new homes;
//     on a complete import it calls HandoverDone.
//
// For a non-idempotent call, the ingress node routes to Home. The executing node calls Decide on arrival, passes the
// verdict to the deduper, and calls Check right before dispatch: admission may have taken longer than the permit.
//
// The argument for the promise is in docs/at-most-once.md.
package owner
