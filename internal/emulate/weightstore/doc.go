// Package weightstore emulates the rate-limited store of model weights.
package weightstore
