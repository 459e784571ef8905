// Package notice decodes the headers in which backend servers say what requests they take. Engines and plain services of both
// serving paths send the same headers.
package notice
