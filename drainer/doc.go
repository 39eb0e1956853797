// Package drainer is the state machine of a planned stop. It performs no input or output and reads no clock: the node
// passes in the time and the begin and end of each call, and carries out the actions that are returned.
//
// How a node uses a Drainer:
//
//   - It calls Begin before it takes on a call, and End when the call is over. If Begin returns false, the node refuses
//     the call with CodeDraining, which claims that the call was not run.
//   - It calls Start on SIGTERM or when an operator drains the node, and then Tick at least every 50 ms. It carries
//     out each returned action once, in order. After ActionHandOver, it calls HandedOver when the key records are with
//     their new homes.
//   - On ActionLeave it announces MemberLeft, closes its links and ends the process.
//
// The methods are not safe for concurrent use.
package drainer
