// Package health judges backend servers from this VM's own observations and from signs that they leave.
package health
