# The project's commands. Most targets call a script that can also be run directly.

.PHONY: all build demo test race soak lint bench clean

all: build

# Builds every binary into bin/. cgo links them to the C library (needs a C compiler).
build:
	CGO_ENABLED=1 go build -o bin/ ./cmd/...

# Runs the system on loopback with stand-ins for the platform, kills one agent and
# stops one entry during the run. Ends with "demo: ok" or "demo: FAILED". Then runs
# the demo of the prepared machines (gateways), which ends with "demo-hosted: ok".
demo: build
	bash examples/demo.sh
	bash examples/demo-hosted.sh

test:
	bash hack/test

# Runs the unit tests of every package under the race detector. CI does not use the
# result; hack/test gives the reason.
race:
	go test -race -timeout 300s $$(go list work | grep -vE '^dandelionsill.org/(e2e|soak|crowd)')

# make soak [SEEDS=50] [SEED=0]: runs the real processes under randomized faults; SEED=0
# takes seeds from the clock. The logs of each run are kept in run/soak.
soak:
	mkdir -p run/soak
	go test ./soak/ -v -timeout 4h -soak.seeds $(or $(SEEDS),10) -soak.seed $(or $(SEED),0) -soak.keep $(CURDIR)/run/soak

lint:
	bash hack/lint

# make bench [SCENARIO=…] [DEPLOYMENT=…] [POLICY=…] (comma separated; unset: all)
bench: build
	SCENARIO='$(SCENARIO)' DEPLOYMENT='$(DEPLOYMENT)' POLICY='$(POLICY)' bash bench/run

clean:
	rm -rf bin bench-out run
