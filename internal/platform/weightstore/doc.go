// Package weightstore asks the rate-limited store of model weights for its load over HTTP.
package weightstore
