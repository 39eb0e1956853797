// Package drainer is the state machine of a planned stop. It is a core: the node passes in time and counts of work, and
// carries out the actions that are returned.
//
// How a node drives a Drainer:
//
//   - Begin before it takes on a piece of work, End when the work is over. While Begin returns false, the work is
//     refused with CodeDraining, which claims "not run".
//   - Start on SIGTERM or an operator's drain, then Tick every 50 ms. Each returned action is carried out once, in
//     order. After ActionHandOver, HandedOver tells that the key records are with their new homes.
//   - After ActionLeave the member record says "left", the links are closed and the process ends.
//
// The methods are not safe for concurrent use.
package drainer
