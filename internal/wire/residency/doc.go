// Package residency encodes residency tables, which list the model versions and adapters on each backend server, as JSON and
// decodes them.
package residency
