# Targets for daily work. CI runs .ci/run, which includes what build, test and lint do.

.PHONY: build test lint format run demo three-nodes members measure fuzz sites

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

# SKIP names tests to leave out: CI's, of KNOWN-RED.txt.
test:
	go test -race -count=1 $(if $(SKIP),-skip '$(SKIP)') ./...

# golangci-lint and its formatters are pinned in tools/go.mod; .golangci.yml says what they check.
LINTER = go tool -modfile=tools/go.mod golangci-lint
lint:
	go vet ./...
	$(LINTER) run

format:
	$(LINTER) fmt

# The example gatherer with both fronts. Start the demo stores first, in another terminal.
run: build
	bin/alderproxy --config example/alderproxy.ini

demo:
	go run ./example/demo

# Three instances that agree on their shared configuration, with demo stores; see docs/operate/agreed-configuration.md.
three-nodes: build
	go build -o bin/ ./example/demo
	example/three-nodes/start

# Three instances that agree and four that follow, members of one fleet; see docs/operate/membership.md.
members: build
	go build -o bin/ ./example/demo
	example/members/start

# Long measurements, outside CI; figures and their machine stand in docs/measurements.
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

# Two deployments of our own for the operators' bench, unlike theirs and each other. The bench wants its own files beside
# a site; they are the operators' and stay out of the repository. Then: lbreal score deploy/sites/NAME.toml --quick.
KIT = ../given/kit/more/mass/other
sites:
	@test -d $(KIT) || { echo "make sites: $(KIT) is not there: the operators' kit is needed to play deploy/sites"; exit 1; }
	cp -f $(KIT)/real.json $(KIT)/wire.json $(KIT)/unlock.txt deploy/sites/
