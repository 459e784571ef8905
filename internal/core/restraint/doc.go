// Package restraint keeps what backend servers say about the requests that they take: none any more, or none for a while. Both serving
// paths ask it before they send a request.
package restraint
