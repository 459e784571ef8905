// Package blamestate encodes what a leader knows about requests that crash backend servers, for the replicated log and for files.
package blamestate
