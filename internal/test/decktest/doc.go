// Package decktest holds fakes of the interfaces of package deck and fixtures that tests of several packages share.
package decktest
