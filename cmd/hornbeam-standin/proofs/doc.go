// Package proofs contains end-to-end failure tests. The scripts under testdata start a deployment of the real node
// program as separate processes, inject faults and compare what callers were told with what upstreams ran. The scripts
// wait for conditions instead of sleeping, so that their results do not depend on timing. In the comments of the
// scripts, F and P with a number are faults and guarantees of docs/design.md.
package proofs
