# Targets for development. CI runs .ci/run, which covers build, test and lint.

.PHONY: build test lint format run demo three-nodes members measure fuzz sites

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

# SKIP is a pattern of the tests to skip. CI sets it to the tests that KNOWN-RED.txt lists.
test:
	go test -race -count=1 $(if $(SKIP),-skip '$(SKIP)') ./...

# golangci-lint and its formatters are pinned in tools/go.mod and configured in .golangci.yml.
LINTER = go tool -modfile=tools/go.mod golangci-lint
lint:
	go vet ./...
	$(LINTER) run

format:
	$(LINTER) fmt

# Runs an example instance with both fronts. Run `make demo` first, in another terminal: it starts discovery and the stores.
run: build
	bin/alderproxy --config example/alderproxy.ini

demo:
	go run ./example/demo

# Runs three voters, which replicate their shared configuration, with demo stores; see docs/operate/agreed-configuration.md.
three-nodes: build
	go build -o bin/ ./example/demo
	example/three-nodes/start

# Runs three voters and four followers, all members of one fleet, with demo stores; see docs/operate/membership.md.
members: build
	go build -o bin/ ./example/demo
	example/members/start

# Runs the long measurements, which are not part of CI. docs/measurements has the results and the machine they were taken on.
measure:
	go test -tags measure -count=1 -v -timeout 60m -run '^TestMeasure' ./processtest ./sharedconfig ./raftnode ./membership ./maintenance | grep -v '=== \|--- PASS'

fuzz:
	go test ./membership -run '^$$' -fuzz FuzzDecode -fuzztime 20s
	go test ./peer -run '^$$' -fuzz FuzzReadFrame -fuzztime 20s
	go test ./inifile -run '^$$' -fuzz FuzzRead -fuzztime 20s
	go test ./document -run '^$$' -fuzz FuzzParse -fuzztime 20s
	go test ./httpwire -run '^$$' -fuzz FuzzReadRequest -fuzztime 20s
	go test ./internal/jsonscan -run '^$$' -fuzz FuzzValid -fuzztime 20s
	go test ./opensearch -run '^$$' -fuzz FuzzParseSearch -fuzztime 20s
	go test ./platform -run '^$$' -fuzz FuzzReadFrame -fuzztime 20s
	go test ./platform -run '^$$' -fuzz FuzzQuery -fuzztime 20s

# Prepares deploy/sites, two example deployments for the operators' bench that differ from each other and from the operators'
# own. The bench needs its files next to a site's file; they belong to the operators and are not committed. Afterwards run
# `lbreal score deploy/sites/NAME.toml --quick`.
KIT = ../given/kit/more/mass/other
sites:
	@test -d $(KIT) || { echo "make sites: $(KIT) not found: the operators' kit is needed to run deploy/sites"; exit 1; }
	cp -f $(KIT)/real.json $(KIT)/wire.json $(KIT)/unlock.txt deploy/sites/
