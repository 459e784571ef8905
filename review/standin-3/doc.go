// Command standin-3 stands in for the platform, the backend servers, the callers and the operator of a small deployment. It starts the
// project's own programs as separate processes on loopback addresses and plays one case of the review.
package main
