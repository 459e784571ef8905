// Package caller serves callers: the inference API and plain services by path.
package caller
