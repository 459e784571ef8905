// Command geraniumdeck serves many models from fewer accelerators.
package main

import (
	"os"

	"github.com/geraniumdeck/geraniumdeck/internal/command/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
