package origin

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/state/disk"
)

const (
	fileName          = "stream-origins"
	maxLedgerRecords  = 200_000
	saveInterval      = 250 * time.Millisecond // at least, between two saves
	maxBytesPerSecond = 256 << 10              // written to the file
)

// A Ledger keeps the records of a control VM in memory and in a file. Its zero value, with a folder, is ready to use.
type Ledger struct {
	Folder string     // of the file
	Clock  deck.Clock // BootClock if nil
	Day    deck.Clock // time of day; SystemClock if nil
	Log    logr.Logger

	failing bool // whether the last save failed; only for Run

	mu      sync.Mutex
	known   table
	unsaved bool
	full    bool // whether a record was rejected, which is logged
}

var _ deck.OriginLedger = (*Ledger)(nil)

// RecordOrigins implements deck.OriginLedger.RecordOrigins. The records are written to the file later.
func (l *Ledger) RecordOrigins(_ context.Context, records []deck.StreamRecord) error {
	for _, r := range records {
		if err := checkOrigin(r.Origin); err != nil {
			return err
		}
	}
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	over := 0
	for _, r := range records {
		if l.put(now, r) == rejected {
			over++
		}
	}
	if over == 0 {
		return nil
	}
	if !l.full {
		l.full = true
		l.Log.Info("records of stream origins rejected: too many distinct origins", "records", over, "limit", maxOrigins)
	}
	return errors.Mark(errors.Newf("%d records exceed the limit of %d distinct origins", over, maxOrigins), deck.ErrInvalidRecords)
}

func (l *Ledger) put(now time.Time, r deck.StreamRecord) outcome {
	l.known.max = maxLedgerRecords
	result := l.known.put(now, r)
	switch result {
	case changed:
		l.unsaved = true
	case conflicting:
		logConflict(l.Log, now, &l.known, r)
	}
	return result
}

// logConflict logs that a stream was recorded with a second origin.
func logConflict(log logr.Logger, now time.Time, t *table, r deck.StreamRecord) {
	first, _ := t.find(now, r.Stream)
	log.Info("stream recorded with two origins; keeping the first one", "stream", strconv.FormatUint(uint64(r.Stream), 16),
		"service", string(first.Origin.Service), "software", string(first.Origin.Software),
		"second-service", string(r.Origin.Service), "second-software", string(r.Origin.Software))
}

// FindOrigin implements deck.OriginLedger.FindOrigin.
func (l *Ledger) FindOrigin(_ context.Context, s deck.StreamKey) (deck.OriginAnswer, error) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known.answer(now, s), nil
}

// Len returns the number of records.
func (l *Ledger) Len() int {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.known.expire(now)
	return len(l.known.records)
}

// Load reads the file, if there is one. A damaged file is logged and ignored.
func (l *Ledger) Load() {
	data, ok, err := l.file().Load()
	if err == nil && !ok {
		return
	}
	var records []deck.StreamRecord
	if err == nil {
		records, err = decode(data, l.day())
	}
	if err != nil {
		l.Log.Error(err, "failed to read the saved origins of streams; starting without them")
		return
	}
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range records {
		if checkOrigin(r.Origin) == nil {
			l.put(now, r)
		}
	}
	l.Log.Info("origins of streams restored", "records", len(l.known.records))
}

// Run writes changed records to the file until ctx ends.
func (l *Ledger) Run(ctx context.Context) error {
	for wait := saveInterval; deck.Sleep(ctx, wait); {
		wait = l.save()
	}
	l.save()
	return nil
}

// save writes the records to the file if they have changed, and returns the time until the next save.
func (l *Ledger) save() time.Duration {
	records, ok := l.takeUnsaved()
	if !ok {
		return saveInterval
	}
	data := encode(records, l.day())
	err := l.file().Save(data)
	if err != nil {
		l.mu.Lock()
		l.unsaved = true
		l.mu.Unlock()
	}
	if err != nil && !l.failing {
		l.Log.Error(err, "failed to write the origins of streams to their file; retrying", "records", len(records))
	}
	if err == nil && l.failing {
		l.Log.Info("origins of streams written to their file again", "records", len(records))
	}
	l.failing = err != nil
	return max(saveInterval, time.Duration(len(data))*time.Second/maxBytesPerSecond)
}

// takeUnsaved returns all records if some have changed since the last call.
func (l *Ledger) takeUnsaved() ([]deck.StreamRecord, bool) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.unsaved {
		return nil, false
	}
	l.unsaved = false
	return l.known.list(now), true
}

func (l *Ledger) file() disk.BlobFile {
	return disk.BlobFile{Folder: l.Folder, Name: fileName}
}

func (l *Ledger) now() time.Time {
	return bootTime(l.Clock)
}

func (l *Ledger) day() time.Time {
	if l.Day == nil {
		return deck.SystemClock{}.Now()
	}
	return l.Day.Now()
}

// bootTime returns the time of the clock, or of a BootClock if it is nil.
func bootTime(c deck.Clock) time.Time {
	if c == nil {
		return deck.BootClock{}.Now()
	}
	return c.Now()
}
