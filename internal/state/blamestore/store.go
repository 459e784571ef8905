package blamestore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/state/disk"
	"github.com/geraniumdeck/geraniumdeck/internal/state/routing"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/blamestate"
)

const (
	fileName        = "crash-verdicts"
	checkInterval   = 20 * time.Millisecond  // between two looks for something to save
	minSaveInterval = 100 * time.Millisecond // between two saves; a crash is reported by several VMs
	saveInterval    = 1 * time.Second        // between two saves, but for the first saveBurst
	saveBurst       = 10
	proposeTimeout  = 2500 * time.Millisecond
)

// Options configure a Store.
type Options struct {
	Log    deck.Log
	Table  deck.BlameTable
	Folder string     // of the file
	Clock  deck.Clock // time of day
	Logger logr.Logger
}

// A Store saves the state of a control VM's BlameTable while the VM leads, and restores it.
type Store struct {
	o       Options
	file    disk.BlobFile
	done    chan struct{}
	commits chan routing.Attachment // newest that is not in the file yet
	known   uint64                  // revision of the newest state that was read or committed
}

// NewStore returns a store that is ready to run.
func NewStore(o Options) *Store {
	return &Store{
		o: o, file: disk.BlobFile{Folder: o.Folder, Name: fileName}, done: make(chan struct{}), commits: make(chan routing.Attachment, 1),
	}
}

// Done returns a channel that is closed when Run has returned.
func (s *Store) Done() <-chan struct{} {
	return s.done
}

// Load restores the state in the file, if there is one. A damaged file is logged and ignored. It must be called before the first
// HandleCommitted.
func (s *Store) Load() {
	data, ok, err := s.file.Load()
	if err == nil && !ok {
		return
	}
	var state deck.BlameState
	if err == nil {
		state, err = blamestate.Decode(data, s.o.Clock.Now())
	}
	if err != nil {
		s.o.Logger.Error(err, "failed to read the saved crashes and verdicts; waiting for the replicated log")
		return
	}
	s.known = state.Revision
	s.o.Table.RestoreBlame(state)
	s.o.Logger.Info("crashes and verdicts restored", "revision", state.Revision, "crashes", len(state.Crashes), "verdicts", len(state.Verdicts))
}

// HandleCommitted restores a state that the log has committed, and queues it for the file. It never blocks; only the loop of the log calls
// it.
func (s *Store) HandleCommitted(a routing.Attachment) {
	if a.Revision <= s.known {
		return
	}
	state, err := blamestate.Decode(a.Data, s.o.Clock.Now())
	if err != nil {
		s.o.Logger.Error(err, "failed to decode crashes and verdicts from the replicated log", "revision", a.Revision)
		return
	}
	s.known = a.Revision
	s.o.Table.RestoreBlame(state)
	select {
	case <-s.commits: // replaces an older one
	default:
	}
	s.commits <- a
}

// Run saves changes of the table, if this VM leads, and writes what the log has committed to the file, until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	defer close(s.done)
	var g errgroup.Group
	g.Go(func() error {
		s.propose(ctx)
		return nil
	})
	g.Go(func() error {
		s.writeFile(ctx)
		return nil
	})
	return g.Wait()
}

// propose puts changes of the table into the log. The first crashes are saved at once, since what a kill of all processes loses costs as many
// crashes again; further ones together.
func (s *Store) propose(ctx context.Context) {
	limiter := rate.NewLimiter(rate.Every(saveInterval), saveBurst)
	failing := false
	for limiter.Wait(ctx) == nil {
		state, ok := s.awaitUnsaved(ctx)
		if !ok {
			return
		}
		err := s.proposeState(ctx, state)
		if err != nil {
			s.o.Table.ReturnUnsavedBlame()
		}
		if err != nil && !failing {
			s.o.Logger.Info("crashes and verdicts are not saved yet; retrying", "revision", state.Revision, "reason", err.Error())
		}
		failing = err != nil
		if failing {
			deck.Sleep(ctx, saveInterval)
		} else {
			deck.Sleep(ctx, minSaveInterval)
		}
	}
}

// awaitUnsaved returns the table's state once it has changed; ok is false if ctx has ended.
func (s *Store) awaitUnsaved(ctx context.Context) (state deck.BlameState, ok bool) {
	for ctx.Err() == nil {
		if state, ok := s.o.Table.TakeUnsavedBlame(); ok {
			return state, true
		}
		deck.Sleep(ctx, checkInterval)
	}
	return deck.BlameState{}, false
}

func (s *Store) proposeState(ctx context.Context, state deck.BlameState) error {
	data, err := blamestate.Encode(state, s.o.Clock.Now())
	if err != nil {
		return err
	}
	command, err := routing.EncodeAttachment(routing.Attachment{Revision: state.Revision, Data: data})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := s.o.Log.Propose(ctx, command)
	if err == nil && len(result) > 0 {
		return errors.Newf("%s", result)
	}
	return err
}

// writeFile writes each committed state to the file. What could not be written is written again.
func (s *Store) writeFile(ctx context.Context) {
	var unsaved routing.Attachment
	var retry <-chan time.Time
	failing := false
	for {
		select {
		case <-ctx.Done():
			return
		case unsaved = <-s.commits:
		case <-retry:
		}
		retry = nil
		err := s.file.Save(unsaved.Data)
		if err != nil {
			retry = time.After(saveInterval)
		}
		if err != nil && !failing {
			s.o.Logger.Error(err, "failed to write crashes and verdicts to their file; retrying", "revision", unsaved.Revision)
		}
		failing = err != nil
	}
}
