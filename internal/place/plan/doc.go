// Package plan decides which data centres and engines hold each model; its functions are pure.
package plan
