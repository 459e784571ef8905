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
	Folder     string     // of the file; empty for none
	FirstStart bool       // of the whole system: there was nothing to lose
	Clock      deck.Clock // BootClock if nil
	Day        deck.Clock // time of day; SystemClock if nil
	Log        logr.Logger

	saveMu  sync.Mutex // held while the file is written
	failing bool       // whether the last save failed; guarded by saveMu

	mu                  sync.Mutex
	known               table
	partialUntil        time.Time // until then, records may be missing that were kept before the start; zero if none are
	unsaved             bool
	unsavedAnnouncement bool // the file lacks an announcement
	full                bool // whether a record was rejected, which is logged
}

var _ deck.OriginLedger = (*Ledger)(nil)

// RecordOrigins implements deck.OriginLedger.RecordOrigins. The records are written to the file later, but for new announcements: others
// rely on them from then on.
func (l *Ledger) RecordOrigins(_ context.Context, records []deck.StreamRecord) error {
	for _, r := range records {
		if err := checkOrigin(r.Origin); err != nil {
			return err
		}
	}
	announces, err := l.record(records)
	if err == nil && announces {
		err = l.saveAnnouncements()
	}
	return err
}

// record keeps the records in memory, and reports whether announcements are among them.
func (l *Ledger) record(records []deck.StreamRecord) (announces bool, err error) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	over := 0
	for _, r := range records {
		if r.Stream == announcementKey(r.Origin) {
			announces = true
			known, ok := l.known.find(now, r.Stream)
			if ok && known.Keep+announceInterval > min(r.Keep, maxKeep) {
				continue // many VMs announce the same, and each change is written to the file
			}
			l.unsavedAnnouncement = l.unsavedAnnouncement || !ok
		}
		if l.put(now, r) == rejected {
			over++
		}
	}
	if over == 0 {
		return announces, nil
	}
	if !l.full {
		l.full = true
		l.Log.Info("records of stream origins rejected: too many distinct origins", "records", over, "limit", maxOrigins)
	}
	return announces, errors.Mark(errors.Newf("%d records exceed the limit of %d distinct origins", over, maxOrigins), deck.ErrInvalidRecords)
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
	a := l.known.answer(now, s)
	a.Partial = now.Before(l.partialUntil)
	return a, nil
}

// Len returns the number of records.
func (l *Ledger) Len() int {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.known.expire(now)
	return len(l.known.records)
}

// Load reads the file, if there is one. A damaged file is logged and ignored. Without a file, what was kept before may be lost.
func (l *Ledger) Load() {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	data, ok, err := l.file().Load()
	if err == nil && !ok {
		if !l.FirstStart {
			l.partialUntil = now.Add(maxKeep)
		}
		return
	}
	var records []deck.StreamRecord
	if err == nil {
		records, err = decode(data, l.day())
	}
	if err != nil {
		l.partialUntil = now.Add(maxKeep)
		l.Log.Error(err, "failed to read the saved origins of streams; starting without them")
		return
	}
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

// saveAnnouncements returns once the file has all announcements that are kept.
func (l *Ledger) saveAnnouncements() error {
	if l.Folder == "" {
		return nil
	}
	l.saveMu.Lock()
	defer l.saveMu.Unlock()
	l.mu.Lock()
	saved := !l.unsavedAnnouncement
	l.mu.Unlock()
	if saved {
		return nil
	}
	_, err := l.saveLocked()
	return err
}

func (l *Ledger) save() time.Duration {
	l.saveMu.Lock()
	defer l.saveMu.Unlock()
	wait, _ := l.saveLocked() // logs its error
	return wait
}

// saveLocked writes the records to the file if they have changed, and returns the time until the next save. The caller holds saveMu.
func (l *Ledger) saveLocked() (wait time.Duration, err error) {
	records, announcement, ok := l.takeUnsaved()
	if !ok {
		return saveInterval, nil
	}
	data := encode(records, l.day())
	err = l.file().Save(data)
	if err != nil {
		l.mu.Lock()
		l.unsaved = true
		l.unsavedAnnouncement = l.unsavedAnnouncement || announcement
		l.mu.Unlock()
	}
	if err != nil && !l.failing {
		l.Log.Error(err, "failed to write the origins of streams to their file; retrying", "records", len(records))
	}
	if err == nil && l.failing {
		l.Log.Info("origins of streams written to their file again", "records", len(records))
	}
	l.failing = err != nil
	return max(saveInterval, time.Duration(len(data))*time.Second/maxBytesPerSecond), err
}

// takeUnsaved returns all records if some have changed since the last call, and whether an announcement is among those.
func (l *Ledger) takeUnsaved() (records []deck.StreamRecord, announcement, ok bool) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.unsaved {
		return nil, false, false
	}
	announcement = l.unsavedAnnouncement
	l.unsaved, l.unsavedAnnouncement = false, false
	return l.known.list(now), announcement, true
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
