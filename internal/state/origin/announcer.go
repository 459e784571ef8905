package origin

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	// announceInterval is the time after which a control VM is told a listed origin again, and the least time by which that makes it keep
	// the origin longer.
	announceInterval = 30 * time.Second

	// announceTimeout is how long an origin is kept from new streams for want of control VMs that answer, if no other one of the service takes
	// calls.
	announceTimeout = findTimeout
)

// announcementKey returns the key of the record that announces an origin.
func announcementKey(o deck.StreamOrigin) deck.StreamKey {
	return deck.StreamKey(xxhash.Sum64String("origin\x00" + string(o.Service) + "\x00" + string(o.Software)))
}

// An announcement says which control VMs know a listed origin.
type announcement struct {
	since   time.Time                 // when the origin was first listed
	serves  bool                      // whether one of its servers is not leaving
	takenAt map[deck.VMName]time.Time // when each control VM was last told
	logged  bool                      // whether it is logged that enough control VMs know it
}

// Announce implements deck.StreamOrigins.Announce.
func (r *Registry) Announce(list []deck.Server) {
	now := bootTime(r.Clock)
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := make(map[deck.StreamOrigin]*announcement)
	added := false
	for _, s := range list {
		o := deck.StreamOrigin{Service: s.Service, Software: s.Software}
		a := listed[o]
		if a == nil {
			if a = r.listed[o]; a == nil {
				a = &announcement{since: now, takenAt: make(map[deck.VMName]time.Time)}
				added = true
			}
			a.serves = false
			listed[o] = a
		}
		a.serves = a.serves || !s.Draining
	}
	r.listed = listed
	if !added {
		return
	}
	for _, a := range r.announcers {
		notify(a.wake)
	}
}

// Unannounced implements deck.StreamOrigins.Unannounced.
func (r *Registry) Unannounced(s deck.ServiceName) []deck.SoftwareVersion {
	now := bootTime(r.Clock)
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []deck.SoftwareVersion
	served, waiting := false, false
	for o, a := range r.listed {
		switch {
		case o.Service != s:
		case r.isAnnounced(now, a):
			served = served || a.serves
		default:
			out = append(out, o.Software)
			waiting = waiting || now.Sub(a.since) < announceTimeout
		}
	}
	if !served && !waiting {
		return nil // nobody could serve otherwise
	}
	return out
}

// isAnnounced reports whether so many control VMs know the origin that one of them is among any that are more than half of all. The caller
// holds the mutex.
func (r *Registry) isAnnounced(now time.Time, a *announcement) bool {
	n := 0
	for vm := range r.announcers {
		if at, ok := a.takenAt[vm]; ok && now.Sub(at) < maxKeep-announceInterval {
			n++
		}
	}
	return n > 0 && 2*n >= len(r.announcers)
}

// An announcer tells one control VM the listed origins.
type announcer struct {
	r      *Registry
	to     deck.VMName
	wake   chan struct{}
	cancel context.CancelFunc
}

func newAnnouncer(r *Registry, to deck.VMName) *announcer {
	return &announcer{r: r, to: to, wake: make(chan struct{}, 1)}
}

func (a *announcer) start(ctx context.Context, g *errgroup.Group) {
	ctx, a.cancel = context.WithCancel(ctx)
	g.Go(func() error {
		a.run(ctx)
		return nil
	})
}

func (a *announcer) stop() {
	a.cancel()
}

func (a *announcer) run(ctx context.Context) {
	delay := minRetryDelay
	for ctx.Err() == nil {
		records, next := a.due()
		if len(records) == 0 {
			select {
			case <-ctx.Done():
			case <-a.wake:
			case <-time.After(next):
			}
			continue
		}
		if a.send(ctx, records) != nil {
			deck.Sleep(ctx, delay)
			delay = min(2*delay, maxRetryDelay)
			continue
		}
		delay = minRetryDelay
	}
}

// due returns the records of the origins that the control VM is to be told now, or the time until there are some.
func (a *announcer) due() (records []deck.StreamRecord, next time.Duration) {
	now := bootTime(a.r.Clock)
	a.r.mu.Lock()
	defer a.r.mu.Unlock()
	next = announceInterval
	for o, listed := range a.r.listed {
		at, ok := listed.takenAt[a.to]
		if left := announceInterval - now.Sub(at); ok && left > 0 {
			next = min(next, left)
			continue
		}
		if checkOrigin(o) == nil && len(records) < maxBatch {
			records = append(records, deck.StreamRecord{Stream: announcementKey(o), Origin: o, Keep: maxKeep})
		}
	}
	return records, next
}

// send hands the records to the control VM and notes that it has them.
func (a *announcer) send(ctx context.Context, records []deck.StreamRecord) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	sent := bootTime(a.r.Clock)
	if _, err := a.r.Client.SendOrigins(ctx, a.to, records); err != nil {
		return err
	}
	a.r.handleTaken(sent, a.to, records)
	return nil
}

// handleTaken records that a control VM has been told origins with a message of the given time.
func (r *Registry) handleTaken(sent time.Time, vm deck.VMName, records []deck.StreamRecord) {
	now := bootTime(r.Clock)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range records {
		a := r.listed[record.Origin]
		if a == nil {
			continue
		}
		a.takenAt[vm] = sent
		if !a.logged && r.isAnnounced(now, a) {
			a.logged = true
			r.Log.Info("software version announced to control VMs", "service", string(record.Origin.Service),
				"software", string(record.Origin.Software), "after-ms", now.Sub(a.since).Milliseconds(),
				"told", len(a.takenAt), "control-vms", len(r.announcers))
		}
	}
}
