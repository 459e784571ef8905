// Package node reads and validates the settings file of one entry or control process on the users' platform.
package node
