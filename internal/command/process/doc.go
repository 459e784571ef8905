// Package process assembles the process of one VM from the settings: its services, metrics and listeners.
package process
