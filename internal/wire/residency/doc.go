// Package residency maps residency tables between the domain type and JSON.
package residency
