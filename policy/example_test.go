package policy_test

import (
	"fmt"

	"alderproxy/policy"
)

// Example runs a query of two parts on two servers. A real owner sends the attempts over a network and reports their
// results.
func Example() {
	aggregator, err := policy.New(policy.Settings{
		InstanceCount:     1,
		Tick:              5_000,
		Shards:            2,
		RingSize:          2,
		ReplicationFactor: 2,
		MaxAttempts:       3,
		Classes: []policy.Class{{
			Name:             "lookup",
			LatencyObjective: 1_000_000,
			Timeout:          3_000_000,
			PriorityWeight:   1,
			MinCoverage:      1,
			RequiredCoverage: 1,
		}},
	}, 1)
	if err != nil {
		fmt.Println("create aggregator:", err)
		return
	}
	now := policy.Micros(1_000_000)
	events := []policy.Event{
		policy.EndpointList{Endpoints: []policy.Endpoint{
			{ID: 7, State: policy.Ready},
			{ID: 8, State: policy.Ready, RingPosition: 1},
		}},
		policy.Query{ID: 1, Number: 1, Deadline: now + 3_000_000, PartCount: 2},
		policy.Part{ID: 2, QueryNumber: 1, Shard: 0, Weight: 0.5},
		policy.Part{ID: 3, QueryNumber: 1, Shard: 1, Weight: 0.5},
	}
	for len(events) > 0 {
		actions := aggregator.Step(now, events)
		events = nil
		for _, action := range actions {
			switch action := action.(type) {
			case policy.SendAttempt:
				fmt.Printf("part %d to server %d\n", action.PartID, action.ServerID)
				events = append(events, policy.AttemptResult{
					PartID: action.PartID, ServerID: action.ServerID, Status: policy.OK,
					Elapsed: 20_000, Report: policy.NoLoadReport,
				})
			case policy.Answer:
				fmt.Printf("query %d answered, complete: %v\n", action.QueryID, action.Complete)
			}
		}
		now += 20_000
	}
	// Output:
	// part 2 to server 7
	// part 3 to server 8
	// query 1 answered, complete: true
}
