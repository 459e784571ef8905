package distribution

import (
	"fmt"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// engineTicket returns a ticket that changes one engine, the most common kind of ticket.
func engineTicket(number uint64) deck.Ticket {
	return deck.Ticket{Number: number, BackendServers: []deck.BackendServer{newEngine(int(number % 10))}}
}

func newEngine(i int) deck.BackendServer {
	return deck.BackendServer{
		Name: deck.BackendName(fmt.Sprintf("engine-%04d", i)), DataCentre: "dc0", Address: "127.0.0.1:9000",
		Accelerators: 4, AcceleratorBytes: 80 * deck.GiB,
	}
}

// ticketsForModels returns a ticket with all engines, followed by one ticket for each model with its adapters.
func ticketsForModels(models int) []deck.Ticket {
	first := deck.Ticket{Number: 1}
	for i := range models/2 + 1 {
		first.BackendServers = append(first.BackendServers, newEngine(i))
	}
	tickets := []deck.Ticket{first}
	for i := range models {
		name := deck.ModelName(fmt.Sprintf("model-%04d", i))
		ticket := deck.Ticket{Number: uint64(i + 2), Models: []deck.Model{{
			Name: name, Active: "v1", Versions: []deck.ModelVersion{
				{Name: "v1", WeightBytes: 60 * deck.GiB, KVReserveBytes: 20 * deck.GiB, TransientBytes: deck.GiB},
				{Name: "v2", WeightBytes: 60 * deck.GiB, KVReserveBytes: 20 * deck.GiB, TransientBytes: deck.GiB},
			},
		}}}
		for a := range 3 {
			ticket.Adapters = append(ticket.Adapters, deck.Adapter{
				Name: deck.AdapterName(fmt.Sprintf("%s-adapter-%d", name, a)), Model: name, Bytes: 100 * deck.MiB,
			})
		}
		tickets = append(tickets, ticket)
	}
	return tickets
}
