// Package balance chooses backend servers for calls from one entry VM's view of them; it does no I/O and reads no clock.
package balance
