// Package simfleet simulates a fleet of aggregators, each of them a policy.Aggregator, that share the same stores, in
// virtual time. It shows what no test of a single aggregator can: the sum of their decisions. Aggregators share no state;
// the stores are simulated; between them is a simnet.Network, whose faults a test injects.
package simfleet
