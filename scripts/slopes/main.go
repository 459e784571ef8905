// Command slopes measures how the cost of control grows with the size of a deployment, with real processes on loopback.
package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	wholeRun = 9 * time.Minute
	window   = 10 * time.Second // over which traffic and processor time are counted
)

func main() {
	ctx, cancel := context.WithTimeout(context.Background(), wholeRun)
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
	for _, n := range sizes {
		if err := measureVMs(ctx, n); err != nil {
			return errors.Wrapf(err, "%d VMs", n)
		}
	}
	return nil
}
