// Package plan computes which data centres and which engines hold each model. Its functions have no side effects.
package plan
