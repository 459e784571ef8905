package origin_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/state/origin"
)

const oneWay = 30 * time.Millisecond // between an entry VM and a control VM

// A fleet delivers messages to control VMs after a delay.
type fleet struct {
	mu       sync.Mutex
	vms      map[deck.VMName]*fakeVM
	unlisted map[deck.VMName]bool
}

// A fakeVM is a control VM without a disk.
type fakeVM struct {
	ledger   *origin.Ledger
	process  uint64
	down     bool // refuses connections
	hangs    bool // answers nothing
	refuses  bool // takes no records, as if they were invalid
	messages int  // with records
}

var _ deck.OriginClient = (*fleet)(nil)

func newFleet(vms int) *fleet {
	f := &fleet{vms: make(map[deck.VMName]*fakeVM), unlisted: make(map[deck.VMName]bool)}
	for n := range vms {
		f.vms[controlName(n)] = &fakeVM{ledger: &origin.Ledger{Clock: deck.SystemClock{}}, process: 1}
	}
	return f
}

func controlName(n int) deck.VMName { return deck.VMName(fmt.Sprintf("control-%d", n)) }

// change changes a control VM.
func (f *fleet) change(vm deck.VMName, change func(vm *fakeVM)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f.vms[vm])
}

// restart replaces the process of a control VM by one that has kept nothing.
func (f *fleet) restart(vm deck.VMName) {
	f.change(vm, func(vm *fakeVM) {
		vm.ledger, vm.process, vm.down = &origin.Ledger{Clock: deck.SystemClock{}}, vm.process+1, false
	})
}

func (f *fleet) names() []deck.VMName {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []deck.VMName
	for vm := range maps.Keys(f.vms) {
		if !f.unlisted[vm] {
			out = append(out, vm)
		}
	}
	return slices.Sorted(slices.Values(out))
}

// holders returns the control VMs that know a stream.
func (f *fleet) holders(s deck.StreamKey) []deck.VMName {
	var out []deck.VMName
	for _, vm := range f.names() {
		var l *origin.Ledger
		f.change(vm, func(vm *fakeVM) { l = vm.ledger })
		if a, err := l.FindOrigin(context.Background(), s); err == nil && a.Known {
			out = append(out, vm)
		}
	}
	return out
}

// reach returns the control VM as the message finds it.
func (f *fleet) reach(ctx context.Context, to deck.VMName) (fakeVM, error) {
	if !deck.Sleep(ctx, oneWay) {
		return fakeVM{}, ctx.Err()
	}
	var vm fakeVM
	f.change(to, func(v *fakeVM) { vm = *v })
	if vm.hangs {
		<-ctx.Done()
		return fakeVM{}, ctx.Err()
	}
	if vm.down {
		return fakeVM{}, errors.New("connection refused")
	}
	return vm, nil
}

func (f *fleet) SendOrigins(ctx context.Context, to deck.VMName, records []deck.StreamRecord) (uint64, error) {
	vm, err := f.reach(ctx, to)
	if err != nil {
		return 0, err
	}
	if vm.refuses {
		return 0, errors.Mark(errors.New("refused"), deck.ErrInvalidRecords)
	}
	if len(records) > 0 {
		f.change(to, func(vm *fakeVM) { vm.messages++ })
	}
	err = vm.ledger.RecordOrigins(ctx, records)
	deck.Sleep(ctx, oneWay)
	return vm.process, err
}

func (f *fleet) AskOrigins(ctx context.Context, to deck.VMName, streams []deck.StreamKey) ([]deck.OriginAnswer, error) {
	vm, err := f.reach(ctx, to)
	if err != nil {
		return nil, err
	}
	var out []deck.OriginAnswer
	for _, s := range streams {
		a, err := vm.ledger.FindOrigin(ctx, s)
		if err != nil {
			return nil, err
		}
		out = append(out, a)
	}
	deck.Sleep(ctx, oneWay)
	return out, nil
}

// An entryVM is the process of an entry VM.
type entryVM struct {
	*origin.Registry
	log *lineLog
}

// runFleet runs a test with control VMs and a function that starts entry VMs, whose senders have started. All of them end with the test.
func runFleet(t *testing.T, controlVMs int, test func(is *is.I, f *fleet, start func(self deck.VMName) entryVM)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(controlVMs)
		ctx, cancel := context.WithCancel(t.Context())
		var g errgroup.Group
		test(is, f, func(self deck.VMName) entryVM {
			log := &lineLog{}
			vm := entryVM{log: log, Registry: &origin.Registry{
				Self: self, Peers: f.names, Client: f, Clock: deck.SystemClock{}, Log: log.logger(),
			}}
			g.Go(func() error { return vm.Run(ctx) })
			synctest.Wait()
			return vm
		})
		cancel()
		is.NoErr(g.Wait())
	})
}

// Load pattern: a caller resumes at another entry VM one way after the first event, or at the same one at once. Guards against records that
// wait for others, that reach too few control VMs, or that all entry VMs hand to the same ones.
func TestRecordReachesThreeControlVMs(t *testing.T) {
	runFleet(t, 9, func(is *is.I, f *fleet, start func(deck.VMName) entryVM) {
		var all []deck.VMName
		other := start("other")
		for n := range 12 {
			vm := start(deck.VMName(fmt.Sprintf("entry-%d", n)))
			s := deck.StreamKey(n)
			vm.Record(record(s, v1, time.Minute))
			is.True(vm.Find(context.Background(), s).Known)
			time.Sleep(oneWay + time.Millisecond)
			holders := f.holders(s)
			is.Equal(len(holders), 3)
			all = append(all, holders...)
			is.Equal(other.Find(context.Background(), s).Origin, v1)
		}
		slices.Sort(all)
		is.True(len(slices.Compact(all)) >= 8)
	})
}

// Guards against a message for each record, which would keep a small VM busy at the peak, and against records that are lost between
// messages.
func TestRecordsShareMessages(t *testing.T) {
	runFleet(t, 3, func(is *is.I, f *fleet, start func(deck.VMName) entryVM) {
		vm := start("entry")
		for n := range 5000 {
			vm.Record(record(deck.StreamKey(n), v1, time.Minute))
			time.Sleep(100 * time.Microsecond)
		}
		time.Sleep(4 * oneWay)
		f.change(controlName(0), func(vm *fakeVM) {
			is.Equal(vm.ledger.Len(), 5000)
			is.True(vm.messages <= 11)
		})
	})
}

// Guards against records that are lost, or kept too long, because a control VM or the link to it fails when they are sent.
func TestFailedMessageIsRepeated(t *testing.T) {
	for name, fail := range map[string]func(vm *fakeVM){
		"down":  func(vm *fakeVM) { vm.down = true },
		"hangs": func(vm *fakeVM) { vm.hangs = true },
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 3, func(is *is.I, f *fleet, start func(deck.VMName) entryVM) {
				vm := start("entry")
				f.change("control-1", fail)
				vm.Record(record(1, v1, 10*time.Second))
				vm.Record(record(2, v1, 3*time.Second))
				time.Sleep(5 * time.Second)
				is.Equal(f.holders(1), []deck.VMName{"control-0", "control-2"})
				f.change("control-1", func(vm *fakeVM) { vm.down, vm.hangs = false, false })
				time.Sleep(3 * time.Second)
				is.Equal(len(f.holders(1)), 3)
				is.Equal(vm.Counts().Lost, int64(1)) // stream 2 has expired
				is.Equal(vm.log.count("takes no records"), 1)
				is.Equal(vm.log.count("again"), 1)
				time.Sleep(2*time.Second + 2*oneWay)
				is.Equal(len(f.holders(1)), 0)
			})
		})
	}
}

// Guards against a control VM that comes up without the records that entry VMs had handed to it or to its earlier process, whether or not
// anything was sent while it was away, and against one that is new and gets only new records.
func TestNewProcessGetsAllRecords(t *testing.T) {
	for name, replace := range map[string]func(f *fleet, vm entryVM){
		"restart between messages": func(f *fleet, _ entryVM) { f.restart("control-1") },
		"restart while records are sent": func(f *fleet, vm entryVM) {
			f.change("control-1", func(vm *fakeVM) { vm.down = true })
			vm.Record(record(7, v2, time.Minute))
			time.Sleep(10 * time.Second)
			f.restart("control-1")
		},
		"restart while nothing is sent": func(f *fleet, _ entryVM) {
			f.change("control-1", func(vm *fakeVM) { vm.down = true })
			time.Sleep(10 * time.Second)
			f.restart("control-1")
		},
		"new control VM": func(f *fleet, _ entryVM) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.unlisted["control-1"] = false
			f.vms["control-1"].ledger = &origin.Ledger{Clock: deck.SystemClock{}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 3, func(is *is.I, f *fleet, start func(deck.VMName) entryVM) {
				f.unlisted["control-1"] = name == "new control VM"
				vm := start("entry")
				for n := range deck.StreamKey(5) {
					vm.Record(record(n, v1, time.Minute))
				}
				time.Sleep(100 * time.Millisecond)
				replace(f, vm)
				time.Sleep(5 * time.Second)
				for n := range deck.StreamKey(5) {
					is.Equal(len(f.holders(n)), 3)
				}
			})
		})
	}
}

// Load pattern: the data centre with all control VMs that take the records of an entry VM fails. Guards against records that only they
// hold.
func TestOtherControlVMsStandBy(t *testing.T) {
	runFleet(t, 9, func(is *is.I, f *fleet, start func(deck.VMName) entryVM) {
		vm := start("entry")
		vm.Record(record(1, v1, time.Minute))
		time.Sleep(time.Second)
		lost := f.holders(1)
		for _, name := range lost {
			f.change(name, func(vm *fakeVM) { vm.hangs = true })
		}
		vm.Record(record(2, v2, time.Minute))
		time.Sleep(4 * time.Second)
		for s := range deck.StreamKey(2) {
			left := slices.DeleteFunc(f.holders(s+1), func(vm deck.VMName) bool { return slices.Contains(lost, vm) })
			is.Equal(len(left), 3)
		}
	})
}

// Guards against records that a control VM refuses and that keep later ones from it, and against long names that make it refuse all.
func TestRefusedRecordsAreDropped(t *testing.T) {
	runFleet(t, 3, func(is *is.I, f *fleet, start func(deck.VMName) entryVM) {
		vm := start("entry")
		f.change("control-1", func(vm *fakeVM) { vm.refuses = true })
		vm.Record(record(1, v1, time.Minute))
		time.Sleep(time.Second)
		f.change("control-1", func(vm *fakeVM) { vm.refuses = false })
		vm.Record(record(2, deck.StreamOrigin{Software: deck.SoftwareVersion(make([]byte, 257))}, time.Minute))
		vm.Record(record(3, v1, time.Minute))
		time.Sleep(time.Second)
		is.Equal(len(f.holders(1)), 2)
		is.Equal(len(f.holders(2)), 0)
		is.Equal(len(f.holders(3)), 3)
		is.Equal(vm.log.count("refused records"), 1)
	})
}

// Guards against a search that waits for VMs that don't answer although one knows the stream, or that ends before all have answered, and
// against one without an end.
func TestFindAsksAllControlVMs(t *testing.T) {
	const roundTrip = 2 * oneWay
	for _, tc := range []struct {
		name     string
		known    []int // control VMs that know the stream
		hanging  []int
		down     []int
		vms      int
		answers  int
		duration time.Duration
	}{
		{"all know it", []int{0, 1, 2}, nil, nil, 3, 1, roundTrip},
		{"one knows it, others hang", []int{2}, []int{0, 1, 3, 4}, nil, 5, 1, roundTrip},
		{"nobody knows it", nil, nil, nil, 5, 5, roundTrip},
		{"nobody knows it, one is down", nil, nil, []int{1}, 3, 2, roundTrip},
		{"nobody knows it, one hangs", nil, []int{0}, nil, 3, 2, 400 * time.Millisecond},
		{"all are down", nil, nil, []int{0, 1, 2}, 3, 0, oneWay},
		{"there are none", nil, nil, nil, 0, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runFleet(t, tc.vms, func(is *is.I, f *fleet, start func(deck.VMName) entryVM) {
				vm := start("entry")
				for n := range tc.vms {
					o := deck.StreamOrigin{Service: "chat", Software: deck.SoftwareVersion(controlName(n))}
					is.NoErr(f.vms[controlName(n)].ledger.RecordOrigins(context.Background(), []deck.StreamRecord{record(9, o, time.Minute)}))
				}
				for _, n := range tc.known {
					is.NoErr(f.vms[controlName(n)].ledger.RecordOrigins(context.Background(), []deck.StreamRecord{record(1, v1, time.Minute)}))
				}
				for _, n := range tc.hanging {
					f.change(controlName(n), func(vm *fakeVM) { vm.hangs = true })
				}
				for _, n := range tc.down {
					f.change(controlName(n), func(vm *fakeVM) { vm.down = true })
				}
				begin := time.Now()
				found := vm.Find(context.Background(), 1)
				is.Equal(time.Since(begin), tc.duration)
				is.Equal(found.Known, len(tc.known) > 0)
				is.True(!found.Known || found.Origin == v1)
				is.Equal(found.Answers, tc.answers)
				is.True(found.Known || found.Asked == tc.vms)
				is.True(found.Known || len(found.Recent) == tc.answers)
				for n := range tc.vms {
					f.change(controlName(n), func(vm *fakeVM) { vm.hangs, vm.down = false, false })
				}
				time.Sleep(time.Second)
				is.True(found.Known || vm.Find(context.Background(), 1).Answers == tc.vms)
			})
		})
	}
}

// Load pattern: an entry VM is lost, and all its callers resume at another one at once. Guards against streams that aren't found in time
// and, under the race detector, against unsafe concurrent use.
func TestManyCallersResumeAtOnce(t *testing.T) {
	runFleet(t, 9, func(is *is.I, f *fleet, start func(deck.VMName) entryVM) {
		lost, other := start("lost"), start("other")
		var g errgroup.Group
		for n := range 200 {
			g.Go(func() error {
				lost.Record(record(deck.StreamKey(n), v1, time.Minute))
				other.Record(record(deck.StreamKey(1000+n), v2, time.Minute))
				time.Sleep(100 * time.Millisecond)
				for _, s := range []int{n, 1000 + n, 2000 + n} {
					found := other.Find(context.Background(), deck.StreamKey(s))
					if found.Known != (s < 2000) {
						return errors.Newf("stream %d: %+v", s, found)
					}
				}
				return nil
			})
		}
		is.NoErr(g.Wait())
		is.Equal(other.Counts(), origin.Counts{Recorded: 200, Found: 400, NotFound: 200})
	})
}
