// Package ingress serves callers' requests by sending each to a backend server of its route and relaying the answer.
package ingress
