// Package telemetry provides logs and OpenTelemetry metrics.
package telemetry
