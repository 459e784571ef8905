package table

import (
	"crypto/sha256"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// customerIndex finds customers by the digests of their keys, so that the time of a lookup says nothing about the keys.
type customerIndex map[[sha256.Size]byte]deck.Customer

func newCustomerIndex(customers []deck.Customer) customerIndex {
	index := make(customerIndex)
	for _, c := range customers {
		keys := c.Keys
		c.Keys = nil // not needed where calls are handled
		for _, key := range keys {
			index[sha256.Sum256([]byte(key))] = c
		}
	}
	return index
}

// HasCustomers reports whether the configuration names customers, so that calls need a key except on public routes.
func (t *Table) HasCustomers() bool {
	return t.cfg != nil && len(t.cfg.Customers) > 0
}

// Customer returns the customer that holds the key, without its keys; ok is false if there is none.
func (t *Table) Customer(key deck.APIKey) (c deck.Customer, ok bool) {
	c, ok = t.customers[sha256.Sum256([]byte(key))]
	return c, ok
}
