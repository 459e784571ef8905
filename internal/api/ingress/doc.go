// Package ingress is the reverse proxy for callers: it sends each request to a backend server of its route, retries where that
// is safe, and relays the answer.
package ingress
