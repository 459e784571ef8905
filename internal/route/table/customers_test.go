package table_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/route/table"
)

func TestFindCustomerByKey(t *testing.T) {
	is := is.New(t)
	tb := table.New(&deck.RoutingConfig{Customers: []deck.Customer{{Name: "a", Keys: []deck.APIKey{"k1", "k2"}}, {Name: "b"}}})
	is.True(tb.HasCustomers())
	c, ok := tb.Customer("k2")
	is.True(ok)
	is.Equal(c, deck.Customer{Name: "a"})
	_, ok = tb.Customer("k")
	is.True(!ok)
	var none table.Table
	is.True(!none.HasCustomers())
	_, ok = none.Customer("")
	is.True(!ok)
}

// BenchmarkCustomer shows the time to find the customer of a key among 10,000 customers.
func BenchmarkCustomer(b *testing.B) {
	cfg := &deck.RoutingConfig{}
	for i := range 10_000 {
		cfg.Customers = append(cfg.Customers, deck.Customer{
			Name: deck.CustomerName(fmt.Sprintf("customer-%d", i)), Keys: []deck.APIKey{deck.APIKey(fmt.Sprintf("%020x", i*7919))},
		})
	}
	tb := table.New(cfg)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i = (i + 1) % len(cfg.Customers)
		if _, ok := tb.Customer(cfg.Customers[i].Keys[0]); !ok {
			b.Fatal("customer not found")
		}
	}
}
