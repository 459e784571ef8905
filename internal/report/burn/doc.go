// Package burn computes the burn rate of each service class: how fast it consumes its error budget.
package burn
