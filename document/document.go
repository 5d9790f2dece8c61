// Package document defines the configuration document that all instances share: classes with their deadlines and
// weights, tenants' quotas, indices, the shard layout and the limits. A standalone instance reads these sections from
// its own configuration file; the instances of a group replicate them as one text. The package does no input or output
// and reads no clock.
//
// Setting names in the text are the operators' (slices, cells, aim, worth); this package maps them to the terms of
// package policy.
package document

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"alderproxy/policy"
)

// Document is the parsed form of the shared sections.
type Document struct {
	Text    string // the text as it was read
	Layout  Layout
	Limits  Limits
	Classes []policy.Class // a tenant's own class is named tenant/class
	Tenants []Tenant
	Indices []Index
}

// Layout describes how indices are sharded and replicated: shard s is stored at the ring positions (s+j) mod RingSize
// for each j below ReplicationFactor.
type Layout struct {
	Shards            int
	RingSize          int
	ReplicationFactor int
}

// Limits bound what an instance holds and attempts.
type Limits struct {
	MaxOpen     int // queries and parts held at a time
	MaxAttempts int // attempts of a part, the first included

	AllowHedging  bool
	AllowCancel   bool
	MaxRetryAfter time.Duration // longest Retry-After; 0: none is sent

	RetryBudgetRatio   float64       // retries for each accepted query and part; 0: the tenants' own ratios apply
	RetryBudgetMinimum float64       // retries over RetryBudgetWindow beside that ratio
	RetryBudgetWindow  time.Duration // span over which retries are budgeted

	SlowStartDuration time.Duration // a store that started has warmed up by then; 0: no slow start
	SlowStartFraction float64       // share of its capacity that a store is given at first
	OverloadFactor    float64       // load above this multiple of the capacity overloads a store that warms up
	OverloadDuration  time.Duration // how long it withstands such load
}

// Tenant is a team's contract, apart from its classes.
type Tenant struct {
	Name             string
	QueriesPerSecond float64 // quota of queries at full weight; 0: unlimited
	RetryRatio       float64 // retries for each of its queries and parts; 0: only the limit on a part's attempts applies
}

// Index is a searchable index.
type Index struct {
	Name   string
	Class  string // name of the class of its queries
	Shards []int  // the shards that hold its data
}

// digestBytes is the length of the prefix of the SHA-256 sum that Digest returns.
const digestBytes = 8

// Digest identifies a text by the first 16 hex digits of its SHA-256 sum.
func Digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:digestBytes])
}

// Class returns the class of the given name and reports whether the document defines it.
func (d *Document) Class(name string) (policy.Class, bool) {
	for _, class := range d.Classes {
		if class.Name == name {
			return class, true
		}
	}
	return policy.Class{}, false
}
