// Package assign plans which engine of a service loads or unloads which model, from the demand for each model and the models
// that the engines hold. It does no I/O and reads no clock. Package order carries out the plans; package execute uses
// the targets of package plan instead.
package assign
