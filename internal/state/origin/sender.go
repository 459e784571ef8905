package origin

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	maxBatch      = 2000 // records in one message
	sendTimeout   = 1 * time.Second
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 1 * time.Second

	// confirmDelay is the time after the last record at which a message without records finds out whether the VM's process has been
	// replaced, since a ledger saves records some time after it has taken them.
	confirmDelay = 3 * time.Second
)

// A sender sends the records of a registry to one control VM, all those that are queued in one message.
type sender struct {
	r      *Registry
	to     deck.VMName
	wake   chan struct{}
	cancel context.CancelFunc

	// What follows is guarded by the registry's mutex.
	queue        []deck.StreamKey // not sent yet; those that expire first are at the front
	process      uint64           // of the VM; 0 if unknown
	failingSince time.Time        // zero if the last message was taken
	refused      bool             // whether records were refused, which is logged
}

func newSender(r *Registry, to deck.VMName) *sender {
	return &sender{r: r, to: to, wake: make(chan struct{}, 1)}
}

func (s *sender) start(ctx context.Context, g *errgroup.Group) {
	ctx, s.cancel = context.WithCancel(ctx)
	g.Go(func() error {
		s.run(ctx)
		return nil
	})
}

func (s *sender) stop() {
	s.cancel()
}

// enqueue adds a stream that the registry has recorded. It is called with the registry's mutex held.
func (s *sender) enqueue(stream deck.StreamKey) {
	s.setQueue(append(s.queue, stream))
	notify(s.wake)
}

// setQueue sets the queue, without the first streams if there are too many.
func (s *sender) setQueue(queue []deck.StreamKey) {
	over := max(0, len(queue)-maxOwnRecords)
	s.r.counts.Lost += int64(over)
	s.queue = queue[over:]
}

// notify wakes the receiver of a channel with a buffer of one.
func notify(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default: // already notified
	}
}

func (s *sender) run(ctx context.Context) {
	var confirm <-chan time.Time
	probe := false // send a message even without records
	delay := minRetryDelay
	for ctx.Err() == nil {
		records := s.take()
		if len(records) == 0 && !probe {
			select {
			case <-ctx.Done():
			case <-s.wake:
			case <-confirm:
				probe, confirm = true, nil
			}
			continue
		}
		err := s.send(ctx, records)
		if err != nil {
			// A VM that was unreachable may have been restarted.
			probe = s.r.hasRecords()
			deck.Sleep(ctx, delay)
			delay = min(2*delay, maxRetryDelay)
			continue
		}
		probe, delay = false, minRetryDelay
		if len(records) > 0 {
			confirm = time.After(confirmDelay)
		}
	}
}

// take removes streams from the queue and returns their records with the time that is left for each.
func (s *sender) take() []deck.StreamRecord {
	now := bootTime(s.r.Clock)
	s.r.mu.Lock()
	defer s.r.mu.Unlock()
	var out []deck.StreamRecord
	for len(s.queue) > 0 && len(out) < maxBatch {
		record, ok := s.r.own.find(now, s.queue[0])
		s.queue = s.queue[1:]
		if ok {
			out = append(out, record)
		} else {
			s.r.counts.Lost++
		}
	}
	return out
}

// send hands records to the control VM. If that fails they are queued again; if the VM's process is another one, all are.
func (s *sender) send(ctx context.Context, records []deck.StreamRecord) error {
	sendCtx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	process, err := s.r.Client.SendOrigins(sendCtx, s.to, records)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	now := bootTime(s.r.Clock)
	s.r.mu.Lock()
	defer s.r.mu.Unlock()
	if errors.Is(err, deck.ErrInvalidRecords) {
		s.handleRefusal(len(records), err)
		return nil
	}
	if err != nil {
		s.handleFailure(now, records, err)
		return err
	}
	if !s.failingSince.IsZero() {
		s.r.Log.Info("control VM takes records of stream origins again", "control-vm", string(s.to))
		s.failingSince = time.Time{}
	}
	if s.process != 0 && process != s.process {
		s.setQueue(s.r.own.streams(now))
	}
	s.process = process
	return nil
}

func (s *sender) handleRefusal(records int, err error) {
	s.r.counts.Lost += int64(records)
	if !s.refused {
		s.refused = true
		s.r.Log.Error(err, "control VM refused records of stream origins", "control-vm", string(s.to), "records", records)
	}
}

func (s *sender) handleFailure(now time.Time, records []deck.StreamRecord, err error) {
	if s.failingSince.IsZero() {
		s.failingSince = now
		s.r.Log.Info("control VM takes no records of stream origins; retrying", "control-vm", string(s.to), "reason", err.Error())
	}
	queue := make([]deck.StreamKey, 0, len(records)+len(s.queue))
	for _, r := range records {
		queue = append(queue, r.Stream)
	}
	s.setQueue(append(queue, s.queue...))
}

// hasRecords reports whether the registry has records that are still kept.
func (r *Registry) hasRecords() bool {
	now := bootTime(r.Clock)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.own.expire(now)
	return len(r.own.records) > 0
}
