// Package origin shares the origins of streams among entry VMs. Each entry VM sends its records to some control VMs, which keep them in
// memory and in a file, and asks all of them about streams that it doesn't know.
package origin
