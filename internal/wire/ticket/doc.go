// Package ticket decodes tickets from YAML and JSON, encodes tickets and states as JSON and computes the digest of a ticket.
package ticket
