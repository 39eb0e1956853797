// Package owner decides which node of a service may run a request with a given idempotency key, and until when. It is
// a state machine: it performs no input or output, reads no clock and is not safe for concurrent use.
//
// # Terms
//
//   - The roster is the list of the members of a service that may run its non-idempotent requests.
//   - An epoch is a numbered version of the roster. The store holds the newest epoch of each service.
//   - The home of a key is the member of the roster that may run requests with this key. It is chosen by rendezvous
//     hashing, so a change of the roster moves only the keys of members that left and those that joining members gain.
//   - A permit is a lease on the right to run non-idempotent requests in an epoch. It is based on a read of the store
//     or on replies from more than half of the roster, and lasts for the permit time.
//   - An epoch is settled when no member of the previous roster can still run a key that moved. Until then a key that
//     moved is refused, unless its previous home has handed over all of its records.
//   - A handover transfers the records of keys that moved from their previous home to their new one.
//   - The horizon is an issue time. A key issued up to then and without a record may have run at an earlier home.
//
// # Driving an Owner
//
// A node makes one Owner for its service at start, sets the exported fields and calls Tick every TickInterval. Every
// method that returns an Output may ask for messages to be sent and for store requests. The node
//
//   - sends each Output.Send to the named member; loss, delay and repetition are allowed;
//   - performs each Output.Store request and passes the outcome to HandleStore with the request's ID. A request
//     without an outcome may be dropped silently; the Owner asks again;
//   - passes received messages to Receive, with the name that the sender proved in the hello of the link;
//   - passes epochs that a relay of its zone has read from the store to ObserveRead, with the time at which it asked the
//     relay and the age that the relay reported. The relays of a zone are its live members of lowest rank;
//   - calls SetTarget with the live members of the service, with mayPropose set if it is the member that should change
//     rosters (for example the first live member by name). Two members that propose at the same time do no harm;
//   - on Output.Adopted calls deduper.Export and sends the records of the keys that moved away to their new homes;
//     on a complete import it calls RecordHandover.
//
// For a non-idempotent call, the ingress node routes to Home. The executing node calls Decide on arrival, passes the
// verdict to the deduper, and calls MayDispatch right before dispatch, because the permit may end while the call waits for
// admission.
//
// docs/at-most-once.md argues why a key runs at most once.
package owner
