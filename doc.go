// Package hornbeamcroft holds the interfaces, enums and domain types of an overload control layer for service call
// graphs. A node process runs beside each upstream; it routes, admits, retries, deduplicates and drains.
//
// The root package has no behaviour of its own beyond checking its types. The implementations are subpackages with
// one job each, and most of them are cores: they do no input or output and take time, randomness and messages as
// arguments, so that the same code runs in the node and under scripted tests with a virtual clock.
package hornbeamcroft
