// Package order loads and unloads models and adapters on the engines of a deployment. Only the VM that leads the replicated
// log sends orders, and it sends them one after the other to each engine. Package command/node uses it, with the
// plans of package assign; package command/process uses package execute instead.
package order
