package policy

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkStepByServerCount runs one of 32 aggregators with a query of 17 parts in each step, whose attempts are
// answered 200 ms later. It reports the time per part and the memory that the aggregator holds at the end.
func BenchmarkStepByServerCount(b *testing.B) {
	for _, servers := range []int{16, 60, 170, 240} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) { benchmarkStep(b, servers) })
	}
}

func benchmarkStep(b *testing.B, servers int) {
	b.Helper()
	const parts = 17
	memoryBefore := heapBytes()
	load := newBenchmarkLoad(b, servers)
	b.ReportAllocs()
	for b.Loop() {
		load.step(parts)
	}
	b.ReportMetric((heapBytes()-memoryBefore)/1024, "KiB-held")
	runtime.KeepAlive(load)
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*parts), "ns/part")
}

// heapBytes returns the size of the live heap in bytes.
func heapBytes() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// benchmarkLoad drives an aggregator with queries and answers its attempts.
type benchmarkLoad struct {
	aggregator *Aggregator
	settings   Settings
	now        Micros
	nextID     uint64

	// results are the pending results of attempts and health checks, in the order in which these started, and resultsAt
	// the times at which they are due.
	results   []Event
	resultsAt []Micros
}

func newBenchmarkLoad(b *testing.B, servers int) *benchmarkLoad {
	b.Helper()
	s := testSettings()
	s.InstanceCount = 32
	s.RingSize = servers
	s.Shards = servers
	s.ReplicationFactor = 3
	s.OverloadFactor = 2.5
	s.LoadReportsOnHealthChecksOnly = true
	var endpoints []Endpoint
	for i := range servers {
		endpoints = append(endpoints, Endpoint{ID: uint32(i + 1), State: Ready, RingPosition: i})
	}
	aggregator, err := New(s, 1)
	require.NoError(b, err)
	load := &benchmarkLoad{aggregator: aggregator, settings: s, now: 1_000_000, nextID: 1}
	aggregator.Step(load.now, []Event{EndpointList{endpoints}})
	return load
}

// step reports a new query and the results that are due.
func (l *benchmarkLoad) step(parts int) {
	const latency = 200_000
	l.now += 2 * l.settings.Tick
	events := l.newQuery(parts)
	for len(l.resultsAt) > 0 && l.resultsAt[0] <= l.now {
		events = append(events, l.results[0])
		l.results = l.results[1:]
		l.resultsAt = l.resultsAt[1:]
	}
	for _, action := range l.aggregator.Step(l.now, events) {
		switch action := action.(type) {
		case SendAttempt:
			l.addResult(resultOf(action, OK), latency)
		case HealthCheck:
			l.addResult(HealthCheckResult{ServerID: action.ServerID, Report: NoLoadReport}, l.settings.Tick)
		}
	}
}

func (l *benchmarkLoad) newQuery(parts int) []Event {
	id := l.nextID
	l.nextID += uint64(parts) + 1
	deadline := l.now + l.settings.Classes[idempotentClass].Timeout
	events := []Event{Query{ID: id, Number: id, Deadline: deadline, PartCount: parts}}
	for i := range uint64(parts) {
		shard := int(id*7+i*11) % l.settings.Shards
		events = append(events, Part{ID: id + 1 + i, QueryNumber: id, Shard: shard, Weight: 1 / float64(parts)})
	}
	return events
}

func (l *benchmarkLoad) addResult(result Event, delay Micros) {
	l.results = append(l.results, result)
	l.resultsAt = append(l.resultsAt, l.now+delay)
}
