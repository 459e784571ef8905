// Package platform emulates the platform's lagging list of live and leaving VMs.
package platform
