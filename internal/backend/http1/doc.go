// Package http1 sends requests to backend servers over HTTP/1.1 connections that it keeps, and never sends one twice by
// itself.
//
// net/http's Transport repeats some requests on a lost connection and gives no access to an answer that belongs to an
// earlier request, so the connections are kept here; the messages are read and written by net/http.
package http1
