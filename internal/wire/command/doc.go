// Package command defines the commands of the replicated log, their results and the JSON encoding of both.
package command
