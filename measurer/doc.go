// Package measurer measures the decisions of the scheduler against bounds that
// come from the design page, with a plain baseline in the same run.
//
// A scenario lives in a file of its own and registers itself in an init
// function. Figures on the quality of decisions use the fake clock of a Driver;
// figures on the cost of decisions use real time.
package measurer
