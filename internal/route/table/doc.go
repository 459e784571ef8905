// Package table finds the route of a request by host and path prefix and its customer by the API key, and picks the route's service by
// weight.
package table
