// Package choose picks the backend server for the next attempt of a request by distance, load, weight, latency and prefix
// cache, and the engines whose reports a VM polls.
package choose
