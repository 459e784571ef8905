// Command slopes measures how the cost of control grows with the size of a deployment, with the feed in one process and
// with a process for each VM on loopback.
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
	settleTime   = 15 * time.Second // after the tickets, since the first leases are granted some seconds after the start
	sampleWindow = 10 * time.Second // over which traffic and processor time are counted
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

// run measures at the numbers of VMs given as arguments, by default 8, 64 and 340.
func run(ctx context.Context, args []string) error {
	sizes := []int{8, 64, 340}
	if len(args) > 0 {
		sizes = nil
	}
	for _, a := range args {
		n, err := strconv.Atoi(a)
		if err != nil || n < 1 {
			return errors.Newf("%q: expected a number of VMs", a)
		}
		sizes = append(sizes, n)
	}
	figures, err := distribution.All(ctx)
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
