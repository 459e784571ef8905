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

// Limits of the demand messages that one placement leader receives.
const (
	demandMessagesPerSecond = 8
	demandBytesPerSecond    = 6 << 10
	minDemandInterval       = time.Second
	demandRowBytes          = 48  // of a row without its model name
	demandOverheadBytes     = 400 // of a message without its rows
)

// DemandInterval returns the time between two demand messages of an entry VM in a data centre with the given number of entry
// VMs.
func DemandInterval(vms int) time.Duration {
	return max(minDemandInterval, time.Duration(vms)*time.Second/demandMessagesPerSecond)
}

// A DemandCounter counts requests and tokens by model until they are sent to the placement leader. It is safe for concurrent
// use; its zero value is empty and ready to use.
type DemandCounter struct {
	mu     sync.Mutex
	counts map[deck.ModelName]deck.ModelDemand
}

// Add adds requests and tokens to the counts of a model.
func (c *DemandCounter) Add(m deck.ModelName, requests, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = make(map[deck.ModelName]deck.ModelDemand)
	}
	row := c.counts[m]
	c.counts[m] = deck.ModelDemand{Model: m, Requests: row.Requests + requests, Tokens: row.Tokens + tokens}
}

// Take removes and returns the rows for the next message, those with the most tokens first. It returns at least one row, if
// there is any, and as many as fit into this VM's part of the byte rate at the leader. The others stay for a later message.
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

// A DemandClient sends demand messages to placement leaders.
type DemandClient struct {
	HTTP *http.Client
}

// Send sends a message once to the VM at the address. The caller must not repeat it after an error, as the message may have
// been counted.
func (c DemandClient) Send(ctx context.Context, address string, d deck.DemandReport) error {
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
