// Package table finds the route of a request by its host and path.
package table
