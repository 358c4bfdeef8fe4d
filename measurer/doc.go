// Package measurer benchmarks the decisions of the scheduler against bounds from
// the design document and against simple baseline policies in the same run.
//
// Each scenario has its own file and registers itself in an init function.
// Metrics of the quality of decisions use the fake clock of a Driver; metrics of
// the cost of decisions use real time.
package measurer
