package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/api/operator"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/test/deployment"
)

const (
	burstTickets     = 100
	burstFirstNumber = 1000
	burstWorkers     = 4
	killAfter        = 30 // acknowledged tickets
	freezeTime       = 8 * time.Second
)

// ticketRaces sends one number with two contents from two operators, and resends the accepted one.
func ticketRaces(ctx context.Context, d *deployment.Deployment) (string, error) {
	a, errA := d.WriteAdapterTicket(900, "race-a", 1<<20)
	if errA != nil {
		return "", errA
	}
	first, err := os.ReadFile(a)
	if err != nil {
		return "", err
	}
	b := filepath.Join(d.Folder, "race-b.yaml")
	if err := os.WriteFile(b, []byte(strings.Replace(string(first), "race-a", "race-b", 1)), 0o600); err != nil {
		return "", err
	}
	codes := make([]int, 2)
	var g errgroup.Group
	for i, f := range []string{a, b} {
		g.Go(func() error {
			_, codes[i], _ = d.Exec(ctx, "apply", "-s", d.Settings, f)
			return nil
		})
	}
	_ = g.Wait()
	slices.Sort(codes)
	if codes[0] != 0 || codes[1] != 1 {
		return "", errors.Newf("exit codes %v, expected one accepted (0) and one refused (1)", codes)
	}
	again := 0
	for _, f := range []string{a, b} {
		if _, code, _ := d.Exec(ctx, "apply", "-s", d.Settings, f); code == 0 {
			again++
		}
	}
	if again != 1 {
		return "", errors.Newf("%d of the two contents were accepted when sent again", again)
	}
	return "of two contents under one number exactly one was accepted, also when sent again", nil
}

// leaderKilledInBurst kills the log's leader while operators send tickets.
func leaderKilledInBurst(ctx context.Context, d *deployment.Deployment) (string, error) {
	victim, err := d.LogLeader(ctx)
	if err != nil {
		return "", err
	}
	b := &ticketBurst{d: d, acked: make(chan int, burstTickets), pending: make(chan int, burstTickets)}
	for i := range burstTickets {
		b.pending <- burstFirstNumber + i
	}
	close(b.pending)
	g, gctx := errgroup.WithContext(ctx)
	for w := range burstWorkers {
		g.Go(func() error { return b.submit(gctx, w) })
	}
	g.Go(func() error {
		for n := 1; n <= burstTickets; n++ {
			select {
			case <-b.acked:
			case <-gctx.Done():
				return gctx.Err()
			}
			if n == killAfter {
				d.Kill(victim)
			}
		}
		return nil
	})
	if err := g.Wait(); err != nil {
		return "", err
	}
	if err := d.StartVM(victim); err != nil {
		return "", err
	}
	err = deployment.Eventually(ctx, func() error { return checkBurst(ctx, d) })
	return fmt.Sprintf("killed %s after %d of %d tickets; all acknowledged ones are in force on %d VMs",
		victim, killAfter, burstTickets, len(deployment.VMs())), err
}

// A ticketBurst sends tickets, each until it is acknowledged.
type ticketBurst struct {
	d       *deployment.Deployment
	pending chan int
	acked   chan int
}

func (b *ticketBurst) submit(ctx context.Context, worker int) error {
	for n := range b.pending {
		t := deck.Ticket{Number: uint64(n), Adapters: []deck.Adapter{{
			Name: deck.AdapterName(fmt.Sprintf("burst-%d", n)), Model: "manual", Bytes: deck.Bytes(n),
		}}}
		err := deployment.Eventually(ctx, func() error {
			worker++
			vm := deployment.VMs()[worker%len(deployment.VMs())]
			c := operator.Client{Address: b.d.Address(deployment.ExampleOperatorsAddress(vm))}
			short, cancel := context.WithTimeout(ctx, 5*time.Second)
			defer cancel()
			a, err := c.ApplyTicket(short, t)
			if err == nil && a.Verdict != deck.TicketAccepted {
				err = errors.Newf("ticket %d: %s %s", n, a.Verdict, a.Reason)
			}
			return err
		})
		if err != nil {
			return err
		}
		b.acked <- n
	}
	return nil
}

// checkBurst checks that each VM has every ticket of the burst in force.
func checkBurst(ctx context.Context, d *deployment.Deployment) error {
	for _, vm := range deployment.VMs() {
		s, err := d.State(ctx, vm)
		if err != nil {
			return err
		}
		sizes := make(map[string]int64)
		for _, a := range s.Objects.Adapters {
			sizes[a.Name] = a.Bytes
		}
		for i := range burstTickets {
			n := burstFirstNumber + i
			if sizes[fmt.Sprintf("burst-%d", n)] != int64(n) {
				return errors.Newf("%s lacks ticket %d at version %d", vm, n, s.Version)
			}
		}
	}
	return nil
}

// leaderFrozen stops the leader's process for longer than its leadership may last.
func leaderFrozen(ctx context.Context, d *deployment.Deployment) (string, error) {
	victim, err := d.LogLeader(ctx)
	if err != nil {
		return "", err
	}
	before, err := d.State(ctx, victim)
	if err != nil {
		return "", err
	}
	if err := d.Signal(victim, syscall.SIGSTOP); err != nil {
		return "", err
	}
	file, err := d.WriteAdapterTicket(2000, "frozen", 1<<20)
	if err != nil {
		return "", err
	}
	begin := time.Now()
	applyErr := submitAnywhere(ctx, d, file, victim)
	took := time.Since(begin)
	deck.Sleep(ctx, freezeTime-took)
	if err := errors.Join(applyErr, d.Signal(victim, syscall.SIGCONT)); err != nil {
		return "", err
	}
	err = deployment.Eventually(ctx, func() error {
		s, err := d.State(ctx, victim)
		if err != nil {
			return err
		}
		if s.Version < before.Version {
			return errors.Newf("%s went back from version %d to %d", victim, before.Version, s.Version)
		}
		if s.Version == before.Version {
			return errors.Newf("%s has not learned the new ticket", victim)
		}
		return nil
	})
	return fmt.Sprintf("froze %s for %s; a ticket was accepted %s into the freeze and %s has it in force",
		victim, freezeTime, took.Round(100*time.Millisecond), victim), err
}

// submitAnywhere submits a ticket to the VMs except one until it is accepted.
func submitAnywhere(ctx context.Context, d *deployment.Deployment, file, except string) error {
	return deployment.Eventually(ctx, func() error {
		var last error
		for _, vm := range deployment.VMs() {
			if vm == except {
				continue
			}
			address := d.Address(deployment.ExampleOperatorsAddress(vm))
			_, _, last = d.Exec(ctx, "apply", "-a", address, "--timeout", "5s", "--no-wait", file)
			if last == nil {
				return nil
			}
		}
		return last
	})
}

// lostDisk removes a replica's data folder, repairs the membership, and kills a second replica right after.
func lostDisk(ctx context.Context, d *deployment.Deployment) (string, error) {
	leader, err := d.LogLeader(ctx)
	if err != nil {
		return "", err
	}
	victim, second := otherControlVMs(leader)
	old, err := d.State(ctx, victim)
	if err != nil {
		return "", err
	}
	d.Kill(victim)
	if err := os.RemoveAll(dataFolder(d, victim)); err != nil {
		return "", err
	}
	if err := d.StartVM(victim); err != nil {
		return "", err
	}
	var fresh deployment.State
	err = deployment.Eventually(ctx, func() error {
		var err error
		fresh, err = d.State(ctx, victim)
		return err
	})
	if err != nil {
		return "", err
	}
	if fresh.Log.Self.Incarnation == old.Log.Self.Incarnation {
		return "", errors.New("a replica without its disk kept its old identity")
	}
	if err := replaceReplica(ctx, d, victim, old.Log.Self.Incarnation, fresh.Log.Self.Incarnation); err != nil {
		return "", err
	}
	d.Kill(second)
	file, err := d.WriteAdapterTicket(2100, "after-repair", 1<<20)
	if err != nil {
		return "", err
	}
	if err := submitAnywhere(ctx, d, file, second); err != nil {
		return "", err
	}
	return fmt.Sprintf("%s lost its disk and was repaired; then %s was killed and a ticket was still accepted", victim, second),
		d.StartVM(second)
}

func replaceReplica(ctx context.Context, d *deployment.Deployment, vm, old, fresh string) error {
	for _, step := range [][]string{{"remove", vm, old}, {"add", vm, fresh}, {"promote", vm, fresh}} {
		err := deployment.Eventually(ctx, func() error {
			_, _, err := d.Exec(ctx, append([]string{"replica", "-s", d.Settings}, step...)...)
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// otherControlVMs returns the two control VMs besides the given one.
func otherControlVMs(vm string) (a, b string) {
	var out []string
	for i := 1; i <= deployment.ControlVMCount; i++ {
		if n := fmt.Sprintf("control-%d", i); n != vm {
			out = append(out, n)
		}
	}
	return out[0], out[1]
}

// dataFolder returns the data folder of a control VM; the deployment numbers them in the order of the settings.
func dataFolder(d *deployment.Deployment, vm string) string {
	return filepath.Join(d.Folder, "data", vm[len(vm)-1:])
}

// noMajority kills two of three control processes.
func noMajority(ctx context.Context, d *deployment.Deployment) (string, error) {
	d.Kill("control-2")
	d.Kill("control-3")
	if !deck.Sleep(ctx, 3*time.Second) {
		return "", ctx.Err()
	}
	code, body, err := d.Caller(1).Post(ctx, "/booking/orders", "order-cut", []byte(`{}`))
	if err != nil {
		return "", err
	}
	if code != 503 || !strings.Contains(body, "not-run") {
		return "", errors.Newf("a booking without a majority got %d %s", code, body)
	}
	runs, err := deployment.Get(ctx, d.Address(deployment.ExampleBookingAddress), "/emulate/runs")
	if err != nil {
		return "", err
	}
	if strings.Contains(runs, "order-cut") {
		return "", errors.New("a booking that was refused as not run has run")
	}
	for n := 1; n <= deployment.EntryVMCount; n++ {
		if _, err := completeChat(ctx, d.Caller(n), "manual", "still there?", 10, nil); err != nil {
			return "", err
		}
	}
	err = errors.Join(d.StartVM("control-2"), d.StartVM("control-3"))
	return "two of three replicas were killed: a booking was refused as not run, and all three entry VMs went on serving", err
}
