package process

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/state/feed"
)

const (
	vmListInterval = time.Second // between two readings of the list
	vmListTimeout  = 2 * time.Second
	vmListPayload  = "platform-vms"
)

type vmRow struct {
	VM      string `json:"vm"`
	Leaving bool   `json:"leaving,omitempty"`
}

// A platformVMs distributes the platform's VM list through the feed: relays read and publish it, and all VMs of the data
// centre receive it.
type platformVMs struct {
	deps      *deps
	list      deck.VMList // nil on a VM that is not a relay
	publisher *feed.Publisher
	observe   func([]deck.VMStatus) // nil on a VM that does not serve callers
	lastRows  []deck.VMStatus
}

// run polls the list on a relay, and delivers each list that arrives through the feed.
func (v *platformVMs) run(ctx context.Context) error {
	t := time.NewTicker(vmListInterval)
	defer t.Stop()
	for {
		updates := v.deps.store.Updates()
		v.deliver()
		select {
		case <-ctx.Done():
			return nil
		case <-updates:
		case <-t.C:
			v.poll(ctx)
		}
	}
}

// poll reads the list and publishes it if it has changed.
func (v *platformVMs) poll(ctx context.Context) {
	if v.list == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, vmListTimeout)
	defer cancel()
	rows, err := v.list.List(ctx)
	if err != nil || v.lastRows != nil && slices.Equal(rows, v.lastRows) {
		return
	}
	v.lastRows = append([]deck.VMStatus{}, rows...)
	data, err := encodeVMs(rows)
	if err != nil {
		return
	}
	// All relays read the same list, so the latest reading wins, whichever relay published it.
	v.publisher.Publish(feed.PayloadVersion{Epoch: uint64(v.deps.clock.Now().UnixMilli())}, data)
}

// deliver passes the list in the store to observe. A payload that cannot be decoded is ignored.
func (v *platformVMs) deliver() {
	if v.observe == nil {
		return
	}
	if p, ok := v.deps.store.Payload(vmListPayload); ok {
		if rows, err := decodeVMs(p.Data); err == nil {
			v.observe(rows)
		}
	}
}

func encodeVMs(rows []deck.VMStatus) ([]byte, error) {
	out := make([]vmRow, 0, len(rows))
	for _, r := range rows {
		out = append(out, vmRow(r))
	}
	return json.Marshal(out)
}

func decodeVMs(data []byte) ([]deck.VMStatus, error) {
	var rows []vmRow
	err := json.Unmarshal(data, &rows)
	out := make([]deck.VMStatus, 0, len(rows))
	for _, r := range rows {
		out = append(out, deck.VMStatus(r))
	}
	return out, err
}
