// Package revocation decides whether a VM may accept the API keys of its configuration. A key that has been taken away must not be
// accepted for longer than a bound, so a VM accepts keys only while it can show that its configuration is recent enough.
package revocation
