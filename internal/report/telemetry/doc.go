// Package telemetry provides the JSON log and the OpenTelemetry metrics of a process.
package telemetry
