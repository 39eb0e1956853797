// Package quarantiner keeps a request that crashes upstreams from taking down a whole service. It is a core: the node
// passes in time and messages, and sends what is returned to the other nodes of its service.
//
// How a node drives a Quarantiner, one for its own upstream:
//
//   - Arrive before admission of each call to the own upstream. VerdictRun goes on to admission. VerdictWait keeps the
//     call until its ID appears in a Result: in Alone, it is admitted with Ticket.Alone; in Release, as usual; in
//     Refuse, it is refused with CodePoisonRefused; in Return, its upstream crashed and it is answered "not run".
//     VerdictRefuse refuses at once.
//   - Finish when a call has ended without a crash, Cancel when a waiting call is withdrawn or expires.
//   - Crash when the upstream crashed, with all calls that ran in it. Send the result before the answers to these
//     calls, so that a resend does not overtake the report.
//   - SetMembers with the nodes of the service in the same order everywhere, for example by rank. The first
//     coordinates the isolated runs.
//   - Tick every 100 ms.
//
// The methods are not safe for concurrent use.
package quarantiner
