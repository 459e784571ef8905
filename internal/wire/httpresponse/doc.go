// Package httpresponse says which HTTP/1.1 responses are well-formed, and when one is whole (RFC 9112, RFC 9110). All of the
// product's clients read through it.
package httpresponse
