package peer

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// The demand messages that a placement leader receives.
const (
	demandMessagesPerSecond = 8
	demandBytesPerSecond    = 6 << 10
	minDemandInterval       = time.Second
	demandRowBytes          = 48 // a row without its model name
	demandOverheadBytes     = 400
)

// DemandInterval returns the time between an entry VM's messages in a data centre with the given number of VMs.
func DemandInterval(vms int) time.Duration {
	return max(minDemandInterval, time.Duration(vms)*time.Second/demandMessagesPerSecond)
}

// A DemandCounter counts an entry VM's work until it is sent; its zero value is empty and safe for concurrent use.
type DemandCounter struct {
	mu     sync.Mutex
	counts map[deck.ModelName]deck.ModelDemand
}

// Count adds work of a model.
func (c *DemandCounter) Count(m deck.ModelName, requests, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = make(map[deck.ModelName]deck.ModelDemand)
	}
	row := c.counts[m]
	c.counts[m] = deck.ModelDemand{Model: m, Requests: row.Requests + requests, Tokens: row.Tokens + tokens}
}

// Take removes and returns the rows for the next message, the largest first, cut to the VM's part of the leader's
// bytes; other rows wait for a later message.
func (c *DemandCounter) Take(vms int) []deck.ModelDemand {
	byteBudget := demandBytesPerSecond*int(DemandInterval(vms).Milliseconds())/1000/max(1, vms) - demandOverheadBytes
	c.mu.Lock()
	defer c.mu.Unlock()
	rows := make([]deck.ModelDemand, 0, len(c.counts))
	for _, row := range c.counts {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b deck.ModelDemand) int {
		return cmp.Or(cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(a.Model, b.Model))
	})
	n := 0
	for _, row := range rows {
		byteBudget -= demandRowBytes + len(row.Model)
		if n > 0 && byteBudget < 0 {
			break
		}
		delete(c.counts, row.Model)
		n++
	}
	return rows[:n]
}

// A DemandClient sends counts to placement leaders.
type DemandClient struct {
	HTTP *http.Client
}

// Send delivers a message once; after an error it may still have been counted, so the caller does not repeat it.
func (c DemandClient) Send(ctx context.Context, address string, d deck.Demand) error {
	m := demandMessage{VM: string(d.VM), Models: []demandRow{}}
	for _, row := range d.Counts {
		m.Models = append(m.Models, demandRow{Model: string(row.Model), Requests: row.Requests, Tokens: row.Tokens})
	}
	body, err := json.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "demand")
	}
	_, err = exchange(ctx, c.HTTP, http.MethodPost, "http://"+address+DemandPath, body, http.StatusNoContent, 0)
	return err
}
