// Package engine emulates a model engine with injectable faults, for tests and demos.
//
// It refuses no operation for lack of memory and counts each overcommit instead, so that a placement that exceeds an engine's
// memory becomes visible.
package engine
