// Package fairshare divides room that is too small for all calls fairly among customers.
package fairshare
