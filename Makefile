GO ?= go
BIN := bin/geraniumdeck
SEED ?= 1
LENGTH ?= 8s
FUZZ_CHECKS ?= 200

.PHONY: build crowd demo faults soak soak-many soak-large test fmt-check lint vet race prove proof-names fuzz measure slopes

build:
	$(GO) build -o $(BIN) .

# demo starts the single-machine example on loopback and shows serving, idempotency, failover and draining.
demo: build
	bash scripts/demo.sh

# test runs all checks of a change; CI calls it.
test: fmt-check vet lint proof-names race crowd demo faults soak
	bash scripts/known-red.sh

fmt-check:
	@out=$$(gofmt -l main.go internal platform scripts); if [ -n "$$out" ]; then echo "gofmt needed:"; echo "$$out"; exit 1; fi

vet:
	$(GO) vet ./...

lint:
	$(GO) tool -modfile=tools/go.mod golangci-lint run ./...

race:
	bash scripts/test.sh

# crowd lets clients that don't keep to the limits come to processes of their own, one kind after the other.
crowd:
	CROWD=1 $(GO) test -count=1 -p 1 -timeout 10m ./platform/crowd

# faults injects failures into the processes of the single-machine example.
faults: build
	$(GO) run ./scripts/faults

# soak runs a small deployment of the platform's roles under random faults for LENGTH; SEED chooses the faults.
soak: build
	$(GO) run ./platform/soak --binary $(BIN) --seed $(SEED) --length $(LENGTH)

# soak-many runs soak with fifty seeds.
soak-many: build
	$(GO) run ./platform/soak --binary $(BIN) --seed $(SEED) --count 50 --length $(LENGTH)

# soak-large runs soak with about as many processes as one machine bears.
soak-large: build
	$(GO) run ./platform/soak --binary $(BIN) --seed $(SEED) --length $(LENGTH) --controls 5 --entries 24 --engines 40

# proof-names checks that the tests that docs/proof.md names exist.
proof-names:
	bash scripts/prove.sh names

# prove runs the tests that docs/proof.md names, and demo, faults and soak.
prove:
	bash scripts/prove.sh

# fuzz runs the stateful fuzz tests with more checks, and the native fuzz targets.
fuzz:
	FUZZ_CHECKS=5000 bash scripts/fuzz.sh

# measure prints one line for each figure of scripts/measure.sh.
measure: build
	bash scripts/measure.sh

# slopes prints how the cost of the control plane grows with the number of VMs.
slopes: build
	bash scripts/slopes.sh
