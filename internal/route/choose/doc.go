// Package choose decides which backend server runs the next attempt of a request.
package choose
