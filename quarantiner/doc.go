// Package quarantiner keeps a request that crashes upstreams (a poison request) from taking down all upstreams of a
// service. Requests that ran in an upstream when it crashed become suspects. Suspects run isolated, one at a time in the
// whole service: one that crashes its upstream again is refused, and the others are cleared. The package does no I/O:
// the node passes in the time and the messages of other nodes, and sends the messages that are returned to the other
// nodes of its service.
//
// A node has one Quarantiner for its local upstream and calls its methods as follows:
//
//   - Arrive before the admission of each call to the local upstream. With VerdictRun, the call goes on to admission.
//     With VerdictRefuse, it is refused at once. With VerdictWait, it waits until its ID appears in a Result: in
//     Isolated, it is admitted with Ticket.Isolated; in Release, it is admitted as usual; in Refuse, it is refused with
//     CodePoisonRefused; in Return, the upstream has crashed and the call is answered "not run".
//   - Finish when a call has ended without a crash, Cancel when a waiting call is withdrawn or expires.
//   - Crash when the upstream has crashed, with all calls that ran in it. The returned messages must be sent before the
//     answers to these calls, so that a resend does not arrive at another node before the report does.
//   - SetMembers with the nodes of the service, in an order that is the same on all nodes, for example by rank. The first
//     node coordinates the isolated runs.
//   - Tick every 100 ms.
//
// The methods are not safe for concurrent use.
package quarantiner
