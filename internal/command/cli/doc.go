// Package cli implements the geraniumdeck command and its subcommands.
package cli
