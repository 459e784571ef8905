package decktest

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// Defaults of stateful fuzz tests, so that a run's verdict does not vary.
const (
	defaultSeed   = "1"
	defaultChecks = "200"
)

// The flags are set before the command line is parsed, so -rapid.seed and -rapid.checks still win.
func init() {
	setFlag("rapid.seed", "SEED", defaultSeed)
	setFlag("rapid.checks", "FUZZ_CHECKS", defaultChecks)
	setFlag("rapid.nofailfile", "", "true")
}

// Check runs a stateful fuzz test with the seed in SEED (1) and the number of runs in FUZZ_CHECKS (200).
func Check(t *testing.T, prop func(*rapid.T)) {
	t.Helper()
	t.Logf("seed %s, checks %s", flag.Lookup("rapid.seed").Value, flag.Lookup("rapid.checks").Value)
	rapid.Check(t, prop)
}

func setFlag(name, env, value string) {
	if v := os.Getenv(env); env != "" && v != "" {
		value = v
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
