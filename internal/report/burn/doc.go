// Package burn computes the service-level burn report: how fast each class uses up its error budget.
package burn
