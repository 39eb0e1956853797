// Package crowd holds the tests of a node against callers that do not keep the limits. Each starts a node as a process of its own on
// loopback addresses. They run one at a time, apart from other load, as they hold many connections and measure memory.
package crowd
