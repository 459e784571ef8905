package decktest

import (
	"fmt"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// NewEngine returns an engine in data centre dc with one accelerator of the given memory.
func NewEngine(name string, dc deck.DataCentre, memory deck.Bytes) deck.BackendServer {
	return deck.BackendServer{
		Name: deck.BackendName(name), DataCentre: dc, Address: "127.0.0.1:9000", Accelerators: 1, AcceleratorBytes: memory,
	}
}

// NewModel returns a model with one active version whose weights have the given size.
func NewModel(name string, weight deck.Bytes) deck.Model {
	return deck.Model{
		Name: deck.ModelName(name), Active: "v1",
		Versions: []deck.ModelVersion{{Name: "v1", WeightBytes: weight, KVReserveBytes: 1, TransientBytes: 1}},
	}
}

// DeploymentTicket returns a ticket that declares the given numbers of engines and models; the engines have memory for all
// models.
func DeploymentTicket(number uint64, engines, models int) deck.Ticket {
	t := deck.Ticket{Number: number}
	perEngine := deck.Bytes((models+engines-1)/engines + 1)
	for i := range engines {
		t.BackendServers = append(t.BackendServers, NewEngine(fmt.Sprintf("engine-%04d", i), "graz-a", perEngine*deck.GiB))
	}
	for i := range models {
		t.Models = append(t.Models, NewModel(fmt.Sprintf("model-%04d", i), deck.GiB-deck.MiB))
	}
	return t
}
