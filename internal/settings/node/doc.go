// Package node reads the settings of one process on the users' platform.
package node
