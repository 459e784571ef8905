// Package deck defines the domain types that all packages of geraniumdeck share, and the interfaces between those packages.
package deck
