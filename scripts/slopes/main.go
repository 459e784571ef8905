// Command slopes measures how the cost of the control plane grows with the size of a deployment. It measures state
// distribution within one process, and traffic, processor time and memory with one process for each VM on loopback.
package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/measure/distribution"
)

const (
	totalTimeout = 9 * time.Minute
	settleTime   = 15 * time.Second // wait after the tickets, since the first leases are granted some seconds after the start
	sampleWindow = 10 * time.Second // time over which traffic and processor time are counted
)

func main() {
	ctx, cancel := context.WithTimeout(context.Background(), totalTimeout)
	err := run(ctx, os.Args[1:])
	cancel()
	if err != nil {
		fmt.Fprintln(os.Stderr, "slopes: failed:", err)
		os.Exit(1)
	}
}

// run measures deployments of the numbers of VMs given as arguments, by default 8, 64 and 340.
func run(ctx context.Context, args []string) error {
	sizes := []int{8, 64, 340}
	if len(args) > 0 {
		sizes = nil
	}
	for _, a := range args {
		n, err := strconv.Atoi(a)
		if err != nil || n < 1 {
			return errors.Newf("%q: expected a number of VMs, at least 1", a)
		}
		sizes = append(sizes, n)
	}
	figures, err := distribution.MeasureAll(ctx)
	if err != nil {
		return errors.Wrap(err, "distribution")
	}
	for _, f := range figures {
		fmt.Printf("slope %s value=%.4g unit=%s\n", f.Name, f.Value, f.Unit)
	}
	for _, n := range sizes {
		if err := measureVMs(ctx, n); err != nil {
			return errors.Wrapf(err, "%d VMs", n)
		}
	}
	return nil
}
