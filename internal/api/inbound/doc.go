// Package inbound bounds what clients can make a process hold: the bytes of unfinished heads, of bodies and of answers that wait to be
// taken, and open connections.
package inbound
