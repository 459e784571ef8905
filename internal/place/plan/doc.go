// Package plan computes which data centres and which engines hold each model. It does no I/O and
// reads no clock. Package execute moves the engines towards its targets.
package plan
