// Package yaml reads and checks the settings file of a deployment; every error names the file and the line.
package yaml
