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
	burstFirstNumber = 1000 // number of the first ticket of the burst
	burstWorkers     = 4
	killAfter        = 30              // acknowledged tickets
	freezeTime       = 8 * time.Second // longer than a leader may lead without contact to a majority
)

// ticketRaces submits two tickets with the same number and different contents at the same time; exactly one must be accepted,
// also when both are submitted again.
func ticketRaces(ctx context.Context, d *deployment.Deployment) (string, error) {
	fileA, errA := d.WriteAdapterTicket(900, "race-a", 1<<20)
	if errA != nil {
		return "", errA
	}
	first, err := os.ReadFile(fileA)
	if err != nil {
		return "", err
	}
	fileB := filepath.Join(d.Folder, "race-b.yaml")
	if err := os.WriteFile(fileB, []byte(strings.Replace(string(first), "race-a", "race-b", 1)), 0o600); err != nil {
		return "", err
	}
	codes := make([]int, 2)
	var g errgroup.Group
	for i, f := range []string{fileA, fileB} {
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
	acceptedAgain := 0
	for _, f := range []string{fileA, fileB} {
		if _, code, _ := d.Exec(ctx, "apply", "-s", d.Settings, f); code == 0 {
			acceptedAgain++
		}
	}
	if acceptedAgain != 1 {
		return "", errors.Newf("%d of the two tickets were accepted when submitted again, expected 1", acceptedAgain)
	}
	return "of two contents under one number exactly one was accepted, also when sent again", nil
}

// leaderKilledInBurst kills the leader of the replicated log while four operators submit tickets; every acknowledged ticket
// must be in force on every VM afterwards.
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

// A ticketBurst submits the pending tickets, each until it is acknowledged.
type ticketBurst struct {
	d       *deployment.Deployment
	pending chan int // numbers of tickets to submit
	acked   chan int // numbers of accepted tickets
}

// submit submits pending tickets until there are none left, each attempt through another VM.
func (b *ticketBurst) submit(ctx context.Context, vmIndex int) error {
	for n := range b.pending {
		t := deck.Ticket{Number: uint64(n), Adapters: []deck.Adapter{{
			Name: deck.AdapterName(fmt.Sprintf("burst-%d", n)), Model: "manual", Bytes: deck.Bytes(n),
		}}}
		err := deployment.Eventually(ctx, func() error {
			vmIndex++
			vm := deployment.VMs()[vmIndex%len(deployment.VMs())]
			c := operator.Client{Address: b.d.Address(deployment.ExampleOperatorsAddress(vm))}
			attemptCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
			defer cancel()
			answer, err := c.ApplyTicket(attemptCtx, t)
			if err == nil && answer.Verdict != deck.TicketAccepted {
				err = errors.Newf("ticket %d: %s: %s", n, answer.Verdict, answer.Reason)
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
				return errors.Newf("%s does not have ticket %d in force at version %d", vm, n, s.Version)
			}
		}
	}
	return nil
}

// leaderFrozen stops the process of the log's leader for freezeTime; the others must accept a ticket meanwhile, and the frozen
// VM must put it in force afterwards without going back to an older state.
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
	acceptedAfter := time.Since(begin)
	deck.Sleep(ctx, freezeTime-acceptedAfter)
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
			return errors.Newf("%s does not have the new ticket in force", victim)
		}
		return nil
	})
	return fmt.Sprintf("froze %s for %s; a ticket was accepted %s into the freeze and %s has it in force",
		victim, freezeTime, acceptedAfter.Round(100*time.Millisecond), victim), err
}

// submitAnywhere submits a ticket file to each VM but one in turn until one accepts it.
func submitAnywhere(ctx context.Context, d *deployment.Deployment, file, except string) error {
	return deployment.Eventually(ctx, func() error {
		var lastErr error
		for _, vm := range deployment.VMs() {
			if vm == except {
				continue
			}
			address := d.Address(deployment.ExampleOperatorsAddress(vm))
			_, _, lastErr = d.Exec(ctx, "apply", "-a", address, "--timeout", "5s", "--no-wait", file)
			if lastErr == nil {
				return nil
			}
		}
		return lastErr
	})
}

// lostDisk removes a replica's data folder, replaces the replica in the membership of the log and kills a second replica right
// after. The replaced replica must have a new incarnation, and the log must still have a majority.
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
	var replacement deployment.State
	err = deployment.Eventually(ctx, func() error {
		var err error
		replacement, err = d.State(ctx, victim)
		return err
	})
	if err != nil {
		return "", err
	}
	if replacement.Log.Self.Incarnation == old.Log.Self.Incarnation {
		return "", errors.New("a replica that lost its disk kept its incarnation")
	}
	if err := replaceReplica(ctx, d, victim, old.Log.Self.Incarnation, replacement.Log.Self.Incarnation); err != nil {
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

// replaceReplica replaces the old incarnation of a replica by the new one with the command replica: it removes the old one,
// adds the new one and promotes it to a voter.
func replaceReplica(ctx context.Context, d *deployment.Deployment, vm, old, replacement string) error {
	for _, step := range [][]string{{"remove", vm, old}, {"add", vm, replacement}, {"promote", vm, replacement}} {
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

// otherControlVMs returns the two control VMs other than vm.
func otherControlVMs(vm string) (a, b string) {
	var out []string
	for i := 1; i <= deployment.ControlVMCount; i++ {
		if n := fmt.Sprintf("control-%d", i); n != vm {
			out = append(out, n)
		}
	}
	return out[0], out[1]
}

// dataFolder returns the data folder of a control VM; package deployment numbers the folders in the order of the settings.
func dataFolder(d *deployment.Deployment, vm string) string {
	return filepath.Join(d.Folder, "data", vm[len(vm)-1:])
}

// noMajority kills two of three control processes; a booking must be refused as not run, while the entry VMs go on streaming
// answers.
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
		return "", errors.Newf("a booking without a majority got status %d: %s, expected 503 with not-run", code, body)
	}
	runs, err := deployment.Get(ctx, d.Address(deployment.ExampleBookingAddress), "/emulate/runs")
	if err != nil {
		return "", err
	}
	if strings.Contains(runs, "order-cut") {
		return "", errors.New("a booking that was refused as not run was run")
	}
	for n := 1; n <= deployment.EntryVMCount; n++ {
		if _, err := completeChat(ctx, d.Caller(n), "manual", "still there?", 10, nil); err != nil {
			return "", err
		}
	}
	err = errors.Join(d.StartVM("control-2"), d.StartVM("control-3"))
	return "two of three replicas were killed: a booking was refused as not run, and all three entry VMs went on serving", err
}
