package decktest

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// Defaults of stateful fuzz tests; a fixed seed makes the result of a run repeatable.
const (
	defaultSeed   = "1"
	defaultChecks = "200"
)

// The flags are set before the command line is parsed, so that -rapid.seed and -rapid.checks take precedence.
func init() {
	setFlag("rapid.seed", "SEED", defaultSeed)
	setFlag("rapid.checks", "FUZZ_CHECKS", defaultChecks)
	setFlag("rapid.nofailfile", "", "true")
}

// Check runs a stateful fuzz test with the seed in SEED (default 1) and the number of runs in FUZZ_CHECKS (default 200).
func Check(t *testing.T, prop func(*rapid.T)) {
	t.Helper()
	t.Logf("seed %s, checks %s", flag.Lookup("rapid.seed").Value, flag.Lookup("rapid.checks").Value)
	rapid.Check(t, prop)
}

// setFlag sets a flag to the value of the environment variable env, or to value if env is empty or not set.
func setFlag(name, env, value string) {
	if v := os.Getenv(env); env != "" && v != "" {
		value = v
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
