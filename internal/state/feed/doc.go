// Package feed distributes the state in force from the control replicas to every VM by long polling.
//
// Each response carries proof of how fresh the source's state is, and each request confirms the versions in force on the
// polling VM and on the VMs that poll through it. Payloads, such as the residency (which models and adapters each
// engine holds), are distributed with the state.
package feed
