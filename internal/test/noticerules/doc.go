// Package noticerules checks the requests that a backend server got in a test against the users' rules on what backend servers say about
// the requests that they take.
package noticerules
