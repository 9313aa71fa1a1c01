# The commands of the project. Each is a script that runs on its own as well.

.PHONY: all build demo test race soak lint bench clean

all: build

# Every binary, into bin/. cgo links them to the C library (needs a C compiler).
build:
	CGO_ENABLED=1 go build -o bin/ ./cmd/...

# The system on loopback with stand-ins for the platform; one agent is killed
# and one entry stopped on the way. Ends with "demo: ok" or "demo: FAILED". Then
# the prepared machines' path, which ends with "demo-hosted: ok".
demo: build
	bash examples/demo.sh
	bash examples/demo-hosted.sh

test:
	bash hack/test

# Every package under the race detector; see hack/test for why this is no verdict.
race:
	go test -race -timeout 300s $$(go list work | grep -vE '^dandelionsill.org/(e2e|soak)')

# make soak [SEEDS=50] [SEED=0]: the real processes under randomized faults; SEED=0
# takes seeds from the clock. Logs of each run stay in run/soak.
soak:
	mkdir -p run/soak
	go test ./soak/ -v -timeout 4h -soak.seeds $(or $(SEEDS),10) -soak.seed $(or $(SEED),0) -soak.keep $(CURDIR)/run/soak

lint:
	bash hack/lint

# make bench [SCENARIO=…] [DEPLOYMENT=…] [POLICY=…] (comma separated; all when unset)
bench: build
	SCENARIO='$(SCENARIO)' DEPLOYMENT='$(DEPLOYMENT)' POLICY='$(POLICY)' bash bench/run

clean:
	rm -rf bin bench-out run
