package maintenance

import (
	"cmp"
	"fmt"
	"slices"
)

// Micros is a time or a duration in microseconds.
type Micros = int64

// maxWeight is the maximum weight of a store.
const maxWeight = 1e12

// Machine is a failure domain: the stores on a machine and the instance of this program that runs there, if any.
type Machine struct {
	Name string `json:"name"`
	Zone string `json:"zone,omitempty"`
	// Type is the type of the machine. Rules.DrainSpacing applies to the drains of machines of the same type.
	Type string `json:"kind,omitempty"`
	// Labels are not evaluated by the rules.
	Labels []string `json:"labels,omitempty"`
	// ExclusionGroup names a group of machines of which at most one may be unavailable at a time; empty if none.
	ExclusionGroup string  `json:"pair,omitempty"`
	Stores         []Store `json:"stores,omitempty"`
	// Member is true if an instance runs on the machine.
	Member bool `json:"member,omitempty"`
	// Voter is true if this instance is a voter of the replicated log.
	Voter bool `json:"voter,omitempty"`
}

// Store is a store on a machine.
type Store struct {
	Name string `json:"name"`
	// RingPosition is the position of the store on the ring; see Layout.
	RingPosition int `json:"cell"`
	// Weight is the capacity of the store, in a unit common to all stores.
	Weight float64 `json:"weight"`
}

// Layout describes all machines and the placement of the shards. Shard s is held by the stores at the ring positions
// (s + i) mod RingSize, for i from 0 to ReplicationFactor - 1.
type Layout struct {
	RingSize int `json:"cells"`
	// ReplicationFactor is the number of ring positions that hold a shard. A position may have several stores, each of
	// which holds a replica, or none.
	ReplicationFactor int `json:"reach"`
	Shards            int `json:"shards"`
	// Machines are sorted by name.
	Machines []Machine `json:"machines"`
}

// Validate returns an error that describes the first inconsistency, or nil if there is none.
func (l *Layout) Validate() error {
	if l.RingSize < 1 || l.ReplicationFactor < 1 || l.ReplicationFactor > l.RingSize || l.Shards < 1 {
		return fmt.Errorf("layout: shards = %d, cells = %d and reach = %d must be positive, and reach at most cells", l.Shards, l.RingSize, l.ReplicationFactor)
	}
	machineByStore := map[string]string{}
	for i, machine := range l.Machines {
		if machine.Name == "" || i > 0 && machine.Name <= l.Machines[i-1].Name {
			return fmt.Errorf("layout: machines[%d]: name %q is empty, listed twice or not in ascending order", i, machine.Name)
		}
		for _, store := range machine.Stores {
			if other, duplicate := machineByStore[store.Name]; duplicate {
				return fmt.Errorf("layout: store %s is listed twice, on machine %s and on machine %s", store.Name, other, machine.Name)
			}
			machineByStore[store.Name] = machine.Name
			if !l.isValidStore(store) {
				return fmt.Errorf("layout: machine %s: store %s: cell %d must be from 0 to %d, and weight %v from 0 to %v", machine.Name, store.Name, store.RingPosition, l.RingSize-1, store.Weight, maxWeight)
			}
		}
	}
	return nil
}

func (l *Layout) isValidStore(store Store) bool {
	onRing := store.RingPosition >= 0 && store.RingPosition < l.RingSize
	return onRing && store.Weight >= 0 && store.Weight <= maxWeight // false if the weight is NaN
}

// Machine returns the machine with the given name, or nil if there is none.
func (l *Layout) Machine(name string) *Machine {
	i, found := slices.BinarySearchFunc(l.Machines, name, func(machine Machine, name string) int {
		return cmp.Compare(machine.Name, name)
	})
	if !found {
		return nil
	}
	return &l.Machines[i]
}

// wrap maps a position before the start or after the end of the ring to the ring.
func (l *Layout) wrap(position int) int { return (position%l.RingSize + l.RingSize) % l.RingSize }
