GO ?= go
BIN := bin/geraniumdeck
SEED ?= 1
LENGTH ?= 8s
FUZZ_CHECKS ?= 200

.PHONY: build demo faults soak soak-many test fmt-check lint vet race prove fuzz measure slopes

build:
	$(GO) build -o $(BIN) .

# demo starts the single-machine example on loopback and shows the system at work.
demo: build
	bash scripts/demo.sh

# test runs every check; CI calls it.
test: fmt-check vet lint race demo faults soak
	bash scripts/known-red.sh

fmt-check:
	@out=$$(gofmt -l main.go internal platform scripts); if [ -n "$$out" ]; then echo "gofmt needed:"; echo "$$out"; exit 1; fi

vet:
	$(GO) vet ./...

lint:
	$(GO) tool -modfile=tools/go.mod golangci-lint run ./...

race:
	bash scripts/test.sh

# faults brings about failures of separate processes.
faults: build
	$(GO) run ./scripts/faults

# soak runs a small deployment of the platform's roles under random faults; SEED and LENGTH choose the run.
soak: build
	$(GO) run ./platform/soak --binary $(BIN) --seed $(SEED) --length $(LENGTH)

# soak-many runs fifty seeds.
soak-many: build
	$(GO) run ./platform/soak --binary $(BIN) --seed $(SEED) --count 50 --length $(LENGTH)

# prove runs exactly the tests that docs/proof.md names.
prove:
	bash scripts/prove.sh

# fuzz is a longer run of the stateful fuzz tests.
fuzz:
	FUZZ_CHECKS=5000 bash scripts/fuzz.sh

measure: build
	bash scripts/measure.sh

slopes: build
	bash scripts/slopes.sh
