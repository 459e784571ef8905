// Package order keeps models and adapters on the engines of a deployment: while its VM leads the replicated log it is the
// only holder of orders, and it sends them one after the other to each engine.
package order
