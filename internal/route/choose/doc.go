// Package choose picks the backend server for the next attempt of an inference request that package attempt runs, by distance,
// load, weight, latency and prefix cache, and the engines whose reports a VM polls. Package balance picks the servers for the
// calls that package ingress proxies.
package choose
