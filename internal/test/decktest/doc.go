// Package decktest holds helpers that tests of several packages share.
package decktest
