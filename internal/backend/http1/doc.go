// Package http1 is an HTTP/1.1 client for backend servers that pools connections and never retries a request by itself.
//
// net/http's Transport retries some requests on a lost connection and gives no access to a response that belongs to an
// earlier request. This package therefore manages the connections itself; net/http parses the responses.
package http1
