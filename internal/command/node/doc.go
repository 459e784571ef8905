// Package node assembles and runs the process of one VM on the users' platform: an entry VM or a control VM.
package node
