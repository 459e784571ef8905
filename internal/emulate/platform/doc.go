// Package platform emulates the platform's list of live and leaving VMs, which lags behind the actual state.
package platform
