package blame

import "github.com/cespare/xxhash/v2"

// Fingerprint returns the fingerprint of a request with the given digest of its content.
func Fingerprint(digest string) uint64 {
	return xxhash.Sum64String(digest)
}

// PartFingerprint returns the fingerprint of a part of a prompt with the given id or text, which differs from that of any request but
// for chance.
func PartFingerprint(part string) uint64 {
	return xxhash.Sum64String("part " + part)
}
