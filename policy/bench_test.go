package policy

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkStepByServerCount plays one of 32 aggregators over so many servers: a query of 17 parts a turn, answered 200 ms
// later. It reports what a part costs and what the aggregator holds at the end; nothing is asserted.
func BenchmarkStepByServerCount(b *testing.B) {
	for _, servers := range []int{16, 60, 170, 240} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) { benchmarkStep(b, servers) })
	}
}

func benchmarkStep(b *testing.B, servers int) {
	const parts = 17
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := testSettings()
	s.InstanceCount, s.RingSize, s.Shards, s.ReplicationFactor, s.OverloadFactor, s.LoadByHealthCheckOnly = 32, servers, servers, 3, 2.5, true
	var list []Endpoint
	for i := range servers {
		list = append(list, Endpoint{ID: uint32(i + 1), State: Ready, RingPosition: i})
	}
	a, err := New(s, 1)
	if err != nil {
		b.Fatal(err)
	}
	now, id := Micros(1_000_000), uint64(1)
	a.Step(now, []Event{EndpointList{list}})
	var due []Event // answers, in the order they come
	var at []Micros
	b.ReportAllocs()
	for b.Loop() {
		now += 2 * s.Tick
		events := []Event{Query{ID: id, Number: id, Deadline: now + s.Classes[0].Timeout, Parts: parts}}
		for i := range uint64(parts) {
			events = append(events, Part{ID: id + 1 + i, Number: id, Shard: int(id*7+i*11) % servers, Weight: 1.0 / parts})
		}
		id += parts + 1
		for len(at) > 0 && at[0] <= now {
			events, due, at = append(events, due[0]), due[1:], at[1:]
		}
		for _, act := range a.Step(now, events) {
			switch act := act.(type) {
			case SendAttempt:
				due = append(due, AttemptResult{Part: act.Part, Server: act.Server, Status: OK, Report: NoLoadReport})
				at = append(at, now+200_000)
			case HealthCheck:
				due = append(due, HealthCheckResult{Server: act.Server, Report: NoLoadReport})
				at = append(at, now+s.Tick)
			}
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/1024, "KiB-held")
	runtime.KeepAlive(a)
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*parts), "ns/part")
}
