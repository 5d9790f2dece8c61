// Package simfleet simulates a fleet of aggregators that share the same stores, in virtual time. Unlike the test of a single
// aggregator, it shows the combined effect of the decisions of many. Each aggregator is a policy.Aggregator and shares no
// state with the others. The stores are simulated. A simnet.Network connects them, into which a test can inject faults.
package simfleet
