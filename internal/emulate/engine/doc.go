// Package engine emulates a model engine for tests and demos, with fault switches.
//
// It is honest about memory: it refuses no operation for lack of memory and reports each overcommit instead.
package engine
