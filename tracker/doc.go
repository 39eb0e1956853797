// Package tracker maintains the membership of the system: which members exist, which of them are live, and which
// availability zones can be reached. It does no I/O and reads no clock: its caller, the node, passes in the time, a
// random source and the received messages, and sends the messages that the methods return.
//
// How a node drives a Tracker:
//
//   - Call New with the node's own record, an Incarnation higher than that of its previous start (wall-clock
//     milliseconds at the start are sufficient), and a few peer addresses.
//   - Call Tick every TickInterval. Call Receive for each message of a peer, with the name that the peer proved in its
//     hello. Call LinkUp when a link to a peer is established or restored.
//   - Send each Outgoing over a link to To, whichever side opened the link. Without a link, dial Address; if that
//     fails, drop the message, because the protocol repairs lost messages. To is empty while only the address of a
//     bootstrap peer is known.
//   - Keep links open to the peers that Links returns; the list changes only when ChangeCount does.
//   - Rebuild load balancers from Members when ChangeCount has changed. Send new work only to views that are Routable.
//   - Call Announce for each change of the node's local upstream: MemberServing when it has registered, MemberDraining
//     when a planned stop begins, MemberLeft when the planned stop has ended.
//   - Call SetVersions when the document revision or the hash of the epochs changes. NewerPeer returns a peer to fetch
//     newer data from.
//   - While WantsLease is true, hold the zone's lease and pass the ModRevision of the lease key to SetLease. Every
//     TickInterval, carry out the request that NextStoreRequest returns and pass the outcome to OnStoreResult. The rest
//     of the protocol does not need the store.
//   - Stop the process when Superseded is true: a newer process runs under the same name.
//
// The methods are not safe for concurrent use.
package tracker
