package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/geraniumdeck/geraniumdeck/internal/test/deployment"
)

// applyTicket writes a ticket with the given number and the objects in YAML, applies it and waits until it is in force.
func applyTicket(ctx context.Context, d *deployment.Deployment, number int, objects string) error {
	name := filepath.Join(d.Folder, fmt.Sprintf("ticket-%d.yaml", number))
	if err := os.WriteFile(name, []byte(fmt.Sprintf("number: %d\n%s\n", number, objects)), 0o600); err != nil {
		return err
	}
	_, err := d.ApplyTicket(ctx, name)
	return err
}

// engineDeclaration returns the line of a ticket that declares the engine, or "" if there is none.
func engineDeclaration(ticket, name string) string {
	for line := range strings.Lines(ticket) {
		if strings.Contains(line, "name: "+name+",") {
			return strings.TrimRight(line, "\n")
		}
	}
	return ""
}
