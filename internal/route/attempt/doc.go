// Package attempt carries a request through its attempts on backend servers until its caller has the whole answer.
package attempt
