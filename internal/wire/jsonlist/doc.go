// Package jsonlist reads lists of JSON that several writers share, entry by entry, so that an entry that can't be read takes none of the
// others with it.
package jsonlist
