// Package sloreporter counts the outcomes of whole requests in fixed memory and computes burn rates and error budgets
// from the counts of many nodes. It is a core: wall-clock time is passed in, because windows must match between nodes.
//
// How a node drives a Reporter:
//
//   - Register each request type of the document that has an objective, Tick every second, and Record for each request
//     that entered at this node, when its whole answer is written or it was refused.
//   - Snapshot answers a query for the counts.
//   - At the end of a planned stop, send the Snapshot to another node, which passes each part to Adopt. A node that
//     crashes loses its counts; the report shows that as a gap.
//
// Build makes a Report from the counts of all nodes. WriteText prints it; its JSON form is that of its fields; package
// plotter draws it.
//
// The methods are not safe for concurrent use.
package sloreporter
