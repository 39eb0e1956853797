// Package sloreporter counts the outcomes of whole requests in bounded memory and computes burn rates and error budgets
// from the counts of many nodes. It reads no clock and opens no connections. Callers pass the wall-clock time, because the
// windows of all nodes must begin at the same times.
//
// A node uses a Reporter as follows:
//
//   - It calls Register for each request type of the document that has an objective, Tick every second, and Record for
//     each request that entered at this node, once the whole answer is written or the request was refused.
//   - It answers a query for the counts with Snapshot.
//   - At the end of a planned stop, it sends the Snapshot to another node, which passes each element to Merge. A node
//     that crashes loses its counts; the report shows that as a gap.
//
// Build computes a Report from the counts of all nodes. WriteText writes it as a table, package json encodes its fields,
// and package plotter draws it.
//
// The methods are not safe for concurrent use.
package sloreporter
