package cli

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/emulate/engine"
	"github.com/geraniumdeck/geraniumdeck/internal/emulate/platform"
	"github.com/geraniumdeck/geraniumdeck/internal/emulate/service"
	"github.com/geraniumdeck/geraniumdeck/internal/emulate/weightstore"
)

const emulateHelp = `Emulate an external component, for tests and demos.

Faults are set by POST /emulate/faults; see docs/developing.md.

Example: geraniumdeck emulate engine --listen 127.0.0.1:17301 --name engine-1 --memory-gib 32`

const emulateEngineHelp = `Emulate a model engine.

Example: geraniumdeck emulate engine --listen 127.0.0.1:17301 --name engine-1 --memory-gib 32`

const emulateServiceHelp = `Emulate a plain service that counts how often each call ran.

Example: geraniumdeck emulate service --listen 127.0.0.1:17311`

const emulatePlatformHelp = `Emulate the platform's list of VMs.

Example: geraniumdeck emulate platform --listen 127.0.0.1:17401 --lag 5s`

const emulateWeightStoreHelp = `Emulate the weight store.

Example: geraniumdeck emulate weight-store --listen 127.0.0.1:17402 --loads-per-second 3`

// emulateHeaderTimeout bounds how long an emulator waits for a request's header.
const emulateHeaderTimeout = 5 * time.Second

func (c *config) addEmulate(app *kingpin.Application) {
	cmd := app.Command("emulate", emulateHelp)
	var listen string
	cmd.Flag("listen", "Address as IP:port.").Required().StringVar(&listen)
	c.addEmulateEngine(cmd, &listen)
	svc := cmd.Command("service", emulateServiceHelp)
	svc.Action(func(*kingpin.ParseContext) error { return c.emulate(listen, (&service.Service{}).Handler()) })
	p := &platform.Platform{}
	pl := cmd.Command("platform", emulatePlatformHelp)
	pl.Flag("lag", "Age of the returned list.").DurationVar(&p.Lag)
	pl.Action(func(*kingpin.ParseContext) error { return c.emulate(listen, p.Handler()) })
	c.addEmulateWeightStore(cmd, &listen)
}

func (c *config) addEmulateEngine(parent *kingpin.CmdClause, listen *string) {
	var cfg engine.Config
	var name, software string
	var memoryGiB int64
	cmd := parent.Command("engine", emulateEngineHelp)
	cmd.Flag("name", "Name of the backend server.").Required().StringVar(&name)
	cmd.Flag("memory-gib", "Memory over all accelerators in GiB.").Default("32").Int64Var(&memoryGiB)
	cmd.Flag("checks-fencing", "Refuse operations with a stale fencing token.").BoolVar(&cfg.ChecksFencing)
	cmd.Flag("max-batch", "Largest number of requests in a batch.").Default("32").IntVar(&cfg.MaxBatch)
	cmd.Flag("token-interval", "Time between tokens at a batch of one.").Default("10ms").DurationVar(&cfg.TokenInterval)
	cmd.Flag("load-time", "Time to load a model without a weight store.").Default("200ms").DurationVar(&cfg.LoadTime)
	cmd.Flag("software-version", "Version of the engine's software.").StringVar(&software)
	cmd.Flag("weight-store", "Base URL of the weight store.").StringVar(&cfg.WeightStore)
	cmd.Action(func(*kingpin.ParseContext) error {
		cfg.Backend, cfg.Software = deck.BackendName(name), deck.SoftwareVersion(software)
		cfg.MemoryBytes = deck.Bytes(memoryGiB) * deck.GiB
		e := engine.New(cfg)
		defer e.Close()
		return c.emulate(*listen, e.Handler())
	})
}

func (c *config) addEmulateWeightStore(parent *kingpin.CmdClause, listen *string) {
	var loadsPerSecond, gibPerSecond float64
	var concurrentLoads int
	cmd := parent.Command("weight-store", emulateWeightStoreHelp)
	cmd.Flag("loads-per-second", "Largest number of loads started per second.").Default("3").Float64Var(&loadsPerSecond)
	cmd.Flag("concurrent-loads", "Number of concurrent loads at full bandwidth.").Default("9").IntVar(&concurrentLoads)
	cmd.Flag("gib-per-second", "Bandwidth of one load.").Default("20").Float64Var(&gibPerSecond)
	cmd.Action(func(*kingpin.ParseContext) error {
		return c.emulate(*listen, weightstore.New(loadsPerSecond, concurrentLoads, gibPerSecond*float64(deck.GiB)).Handler())
	})
}

// emulate serves a handler until SIGTERM or SIGINT.
func (c *config) emulate(address string, h http.Handler) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return withExitCode(ExitFailed, err)
	}
	fmt.Fprintf(c.stdout, "listening on %s\n", l.Addr())
	srv := &http.Server{Handler: h, ReadHeaderTimeout: emulateHeaderTimeout}
	var g errgroup.Group
	g.Go(func() error {
		<-ctx.Done()
		return srv.Close()
	})
	err = srv.Serve(l)
	cancel()
	_ = g.Wait()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return withExitCode(ExitFailed, err)
}
