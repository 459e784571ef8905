// Package blame finds out which requests, or which parts of prompts, crash the backend servers that run them. Each crash interrupts
// many calls; what is to blame is what different crashes have in common and what never completes.
package blame
