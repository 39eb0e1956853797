// Package proofs holds failure tests of separate processes: scripts under testdata start a deployment with the real
// node, disturb it and compare claims with executions. Their verdicts wait for conditions, not for times.
package proofs
