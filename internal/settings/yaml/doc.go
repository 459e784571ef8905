// Package yaml reads and validates the settings file of a deployment; every error names the file and the line.
package yaml
