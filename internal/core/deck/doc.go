// Package deck holds the domain types of geraniumdeck and the interfaces whose implementations vary.
package deck
