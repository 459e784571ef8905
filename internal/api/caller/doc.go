// Package caller implements the callers' listener: the inference API, and the calls that it forwards to plain services by
// path prefix.
package caller
