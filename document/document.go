// Package document defines the configuration document that all instances share: classes with their deadlines and
// weights, tenants' quotas, indices, the shard layout and the limits. A standalone instance reads these sections from
// its own configuration file; the instances of a group replicate them as one text. The package does no input or output
// and reads no clock.
//
// The text uses the setting names that operators know (slices, cells, aim, worth); this package maps them to the terms
// of package policy.
package document

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"alderproxy/policy"
)

// Document holds the parsed shared sections.
type Document struct {
	Text    string // the text that was parsed; of an instance's own file, it has the other sections too (see SharedText)
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

// Limits are the limits on an instance's open queries, on attempts and retries, and on the load of a store that starts.
type Limits struct {
	MaxOpen     int // maximum number of open queries and parts
	MaxAttempts int // maximum number of attempts of a part, including the first one

	AllowHedging  bool
	AllowCancel   bool
	MaxRetryAfter time.Duration // maximum Retry-After in responses; 0: none is sent

	RetryBudgetRatio   float64       // retries per accepted query and part; 0: the weighted mean of the tenants' ratios applies
	RetryBudgetMinimum float64       // retries within RetryBudgetWindow in addition to that ratio
	RetryBudgetWindow  time.Duration // time over which retries are limited

	SlowStartDuration time.Duration // time until a store that starts has its full capacity; 0: no slow start
	SlowStartFraction float64       // fraction of its capacity that a store has when it starts
	OverloadFactor    float64       // a store that starts fails if its load exceeds this multiple of its capacity for OverloadDuration
	OverloadDuration  time.Duration // see OverloadFactor
}

// Tenant is the quota and the retry ratio of a team.
type Tenant struct {
	Name             string
	QueriesPerSecond float64 // quota of queries at full weight; 0: unlimited
	RetryRatio       float64 // retries per query and part; enters the weighted mean that applies if Limits.RetryBudgetRatio is 0
}

// Index is a searchable index.
type Index struct {
	Name   string
	Class  string // name of the class of queries on the index
	Shards []int  // shards that hold the index's data
}

// digestBytes is the length in bytes of the prefix of the SHA-256 sum that Digest returns.
const digestBytes = 8

// Digest returns the first 16 hex digits of the SHA-256 sum of a text.
func Digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:digestBytes])
}

// Class returns the class with the given name, and reports whether the document defines it.
func (d *Document) Class(name string) (policy.Class, bool) {
	for _, class := range d.Classes {
		if class.Name == name {
			return class, true
		}
	}
	return policy.Class{}, false
}
