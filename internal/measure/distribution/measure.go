package distribution

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/state/statemachine"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/command"
)

// interRegionLatency is the one-way latency between data centres of different regions.
const interRegionLatency = 25 * time.Millisecond

// A Figure is a measured value with its name and unit as they are printed.
type Figure struct {
	Name  string
	Value float64
	Unit  string
}

// TicketInForce returns the median and the longest time from the proposal of a ticket until it is in force on all VMs.
func TicketInForce(ctx context.Context, vms, tickets int) ([]Figure, error) {
	d, err := startDeployment(ctx, vms, interRegionLatency)
	if err != nil {
		return nil, err
	}
	defer d.stop()
	if err := d.warmUp(ctx); err != nil {
		return nil, err
	}
	var times []time.Duration
	for n := range tickets {
		elapsed, err := d.submitTicket(ctx, uint64(n+2))
		if err != nil {
			return nil, err
		}
		times = append(times, elapsed)
		deck.Sleep(ctx, time.Duration(n%10)*20*time.Millisecond) // spreads the tickets over the phases of the polls
	}
	slices.Sort(times)
	name := fmt.Sprintf("ticket-in-force-%d-vms", vms)
	return []Figure{
		{name + "-p50", milliseconds(times[len(times)/2]), "ms"},
		{name + "-max", milliseconds(times[len(times)-1]), "ms"},
	}, nil
}

// warmUp submits ticket 1 and waits until it is in force on all VMs, so that every VM has found a source to poll.
func (d *deployment) warmUp(ctx context.Context) error {
	_, err := d.submitTicket(ctx, 1)
	return err
}

// submitTicket commits a ticket and returns the time until it is in force on all VMs.
func (d *deployment) submitTicket(ctx context.Context, number uint64) (time.Duration, error) {
	ticket := engineTicket(number)
	begin := time.Now()
	data, err := d.proposer.Propose(ctx, command.Encode(command.Envelope{Command: command.ApplyTicket{Ticket: ticket}}))
	if err != nil {
		return 0, err
	}
	r, err := command.DecodeResult(data)
	if err != nil || r.Ticket.Verdict != deck.TicketAccepted {
		return 0, errors.Newf("ticket was not accepted: result %+v, error %v", r.Ticket, err)
	}
	for _, s := range d.stores {
		for changed := s.Changed(); s.State().Version() < r.Ticket.Version; changed = s.Changed() {
			select {
			case <-ctx.Done():
				return 0, ctx.Err()
			case <-changed:
			}
		}
	}
	return time.Since(begin), nil
}

// FeedCost returns the bytes and the CPU time that feed polls cost while nothing changes, and that the distribution of a
// ticket adds. Bytes count both directions at the polling VM; CPU time is that of the polling VM and the source together.
func FeedCost(ctx context.Context, vms, tickets int, idle time.Duration) ([]Figure, error) {
	d, err := startDeployment(ctx, vms, interRegionLatency)
	if err != nil {
		return nil, err
	}
	defer d.stop()
	if err := d.warmUp(ctx); err != nil {
		return nil, err
	}
	bytes, used := d.totalFeedBytes(), cpuTime()
	deck.Sleep(ctx, idle)
	idleBytes, idleUsed := d.totalFeedBytes()-bytes, cpuTime()-used
	bytes, used = d.totalFeedBytes(), cpuTime()
	begin := time.Now()
	for n := range tickets {
		if _, err := d.submitTicket(ctx, uint64(n+2)); err != nil {
			return nil, err
		}
	}
	elapsed := time.Since(begin).Seconds()
	seconds, count := idle.Seconds(), float64(vms)
	perTicket := func(total, idleTotal float64) float64 {
		return max(total-idleTotal/seconds*elapsed, 0) / count / float64(tickets)
	}
	name := func(s string) string { return fmt.Sprintf("%s-%d-vms", s, vms) }
	return []Figure{
		{name("feed-poll-bytes"), float64(idleBytes) / count / seconds, "B/s/VM"},
		{name("feed-poll-cpu"), float64(idleUsed.Microseconds()) / count / seconds, "us/s/VM"},
		{name("ticket-bytes"), perTicket(float64(d.totalFeedBytes()-bytes), float64(idleBytes)), "B/VM"},
		{name("ticket-cpu"), perTicket(microseconds(cpuTime()-used), microseconds(idleUsed)), "us/VM"},
	}, nil
}

func (d *deployment) totalFeedBytes() int64 {
	sum := int64(0)
	for _, b := range d.feedBytes {
		sum += b.Load()
	}
	return sum
}

// StateMemory returns the heap and the snapshot size of a control replica's state: the given number of models, three adapters
// for each, and one engine for every two models, applied as one ticket for the engines and one for each model.
func StateMemory(models int) ([]Figure, error) {
	before := liveHeapBytes()
	m := statemachine.New(nil, nil)
	index := uint64(0)
	for _, ticket := range ticketsForModels(models) {
		index++
		r, err := command.DecodeResult(m.Apply(index, command.Encode(command.Envelope{
			ProposedAt: time.Unix(int64(index), 0), Command: command.ApplyTicket{Ticket: ticket},
		})))
		if err != nil || r.Ticket.Verdict != deck.TicketAccepted {
			return nil, errors.Newf("ticket was not accepted: result %+v, error %v", r.Ticket, err)
		}
	}
	used := liveHeapBytes() - before
	snapshot, err := m.Snapshot()
	if err != nil {
		return nil, err
	}
	return []Figure{
		{fmt.Sprintf("state-memory-%d-models", models), float64(used) / 1024, "KiB"},
		{fmt.Sprintf("state-snapshot-%d-models", models), float64(len(snapshot)) / 1024, "KiB"},
	}, nil
}

// CallCost returns the CPU time that a replica needs to apply the begin and finish commands of a call whose answer has the
// given size in bytes, and the heap that the call's record occupies.
func CallCost(calls, body int) ([]Figure, error) {
	m := statemachine.New(nil, nil)
	answer := deck.ServiceAnswer{Outcome: deck.OutcomeDone, Status: 200, Body: make([]byte, body)}
	before, begin := liveHeapBytes(), cpuTime()
	for i := range calls {
		key := fmt.Sprint("key-", i)
		at := time.Unix(int64(i/1000+1), 0)
		m.Apply(uint64(2*i+1), command.Encode(command.Envelope{
			ProposedAt: at, Command: command.BeginCall{Key: key, Digest: "digest", VM: "vm", ClaimID: key},
		}))
		m.Apply(uint64(2*i+2), command.Encode(command.Envelope{
			ProposedAt: at, Command: command.FinishCall{Key: key, ClaimID: key, Answer: answer},
		}))
	}
	used := cpuTime() - begin
	kept := liveHeapBytes() - before
	runtime.KeepAlive(m)
	return []Figure{
		{fmt.Sprintf("call-cpu-%d-byte-answer", body), microseconds(used) / float64(calls), "us"},
		{fmt.Sprintf("call-memory-%d-byte-answer", body), float64(kept) / float64(calls), "B"},
	}, nil
}

// MeasureAll returns all figures, at the sizes of the design document.
func MeasureAll(ctx context.Context) ([]Figure, error) {
	var out []Figure
	steps := []func() ([]Figure, error){
		func() ([]Figure, error) { return StateMemory(35) },
		func() ([]Figure, error) { return StateMemory(350) },
		func() ([]Figure, error) { return StateMemory(1400) },
		func() ([]Figure, error) { return CallCost(20_000, 200) },
		func() ([]Figure, error) { return CallCost(2_000, 60<<10) },
		func() ([]Figure, error) { return TicketInForce(ctx, 8, 100) },
		func() ([]Figure, error) { return FeedCost(ctx, 8, 20, 10*time.Second) },
		func() ([]Figure, error) { return FeedCost(ctx, 64, 20, 10*time.Second) },
		func() ([]Figure, error) { return FeedCost(ctx, 340, 20, 10*time.Second) },
	}
	for _, step := range steps {
		figures, err := step()
		if err != nil {
			return out, err
		}
		out = append(out, figures...)
	}
	return out, nil
}

// liveHeapBytes returns the size of the live heap. It collects twice, as the second collection frees objects whose finalizers
// the first one ran.
func liveHeapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}

// cpuTime returns the user and system time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

func microseconds(d time.Duration) float64 {
	return float64(d.Nanoseconds()) / 1000
}
