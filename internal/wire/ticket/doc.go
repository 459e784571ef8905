// Package ticket maps tickets and states between domain types and their YAML and JSON forms.
package ticket
