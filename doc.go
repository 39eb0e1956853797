// Package hornbeamcroft defines the interfaces, enumerations and domain types of an overload control layer for service call
// graphs. A node process runs as a sidecar of each upstream. It routes, admits, retries, deduplicates
// and drains calls.
//
// The root package has no behaviour of its own beyond validating its types. The implementations are subpackages with one
// responsibility each. Most of them are cores: they do no input or output and take time, randomness and messages as
// arguments, so that the same code runs in the node and in scripted tests with a virtual clock.
package hornbeamcroft
