// Package weightstore queries the rate-limited store of model weights for its loads in flight and its limit over HTTP.
package weightstore
