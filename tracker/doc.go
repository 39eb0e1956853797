// Package tracker keeps the membership of the system: which members exist, which of them live, and which availability
// zones can be reached. It is a core: the node passes in time, randomness and messages, and sends what is returned.
//
// How a node drives a Tracker:
//
//   - New with the node's own record, an Incarnation higher than that of its former start (wall-clock milliseconds at
//     the start will do), and a few peer addresses.
//   - Tick every TickInterval. Receive for each message of a peer, with the name that the peer proved in its hello.
//     LinkUp when a link to a peer is up again.
//   - Send each Outgoing over a link to To, whichever side opened it. Without a link, dial Address; while that fails,
//     drop the message. The tracker repairs what is lost. To is empty while only the address is known (bootstrap).
//   - Keep links to Links(); they change only when Version does.
//   - Rebuild balancers from Members when Version has changed. Work goes only to views that are Routable.
//   - Announce for each state of the own upstream: MemberServing when it has registered, MemberDraining when a planned
//     stop begins, MemberLeft when it is over.
//   - SetVersions when the document revision or the hash of the epochs changes; Behind tells from whom to get more.
//   - While WantsLease is true, hold the zone's lease and pass its epoch to SetLease. Every TickInterval, carry out
//     the request of StoreWork and pass the outcome to StoreDone. Nothing else depends on the store.
//   - Stop the process when Superseded is true: a newer process has taken over the name.
//
// The methods are not safe for concurrent use.
package tracker
