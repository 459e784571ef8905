// Package vmlist reads the platform's list of live and leaving VMs over HTTP.
package vmlist
