// Package command holds the commands of the replicated log, their results and their JSON codec.
package command
