// Package process assembles the services of one VM's process from its settings.
package process
