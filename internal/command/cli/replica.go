package cli

import (
	"context"
	"fmt"
	"strconv"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/api/operator"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const replicaHelp = `Change the membership of the replicated log, one replica at a time.

A VM that lost its disk returns as a new incarnation: remove the old one, add the new one,
and promote it once it has caught up. Until then it does not count towards the majority.

Example: geraniumdeck replica -s deployment.yaml add graz-a-1 4f2a90c1`

func (c *config) addReplica(app *kingpin.Application) {
	var action, vm, incarnation string
	cmd := app.Command("replica", replicaHelp)
	c.addConnectionFlags(cmd)
	cmd.Arg("action", "add, promote or remove.").Required().EnumVar(&action, "add", "promote", "remove")
	cmd.Arg("vm", "Name of the VM.").Required().StringVar(&vm)
	cmd.Arg("incarnation", "Incarnation of the replica as `geraniumdeck state` shows it.").Required().StringVar(&incarnation)
	cmd.Action(func(*kingpin.ParseContext) error { return c.replica(action, vm, incarnation) })
}

func (c *config) replica(action, vm, incarnation string) error {
	n, err := strconv.ParseUint(incarnation, 16, 64)
	if err != nil {
		return withExitCode(ExitUsage, errors.Newf("incarnation %q: expected a hexadecimal number", incarnation))
	}
	a, err := operator.ParseReplicaAction(action)
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	change := deck.ReplicaChange{Action: a, Replica: deck.ReplicaID{VM: deck.VMName(vm), Incarnation: n}}
	err = c.callAny(ctx, func(ctx context.Context, cl operator.Client) error {
		return cl.ChangeReplica(ctx, change)
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(c.stdout, "%s %s/%s: done\n", action, vm, incarnation)
	return nil
}
