// Package contract keeps what teams have agreed with the broker: the classes of their queries and their budgets.
// The book of contracts is versioned and replicated among a few instances with Raft; see Node.
package contract

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"alderproxy/policy"
)

// Class is what a team wants for one kind of its queries.
type Class struct {
	Name      string  `json:"name"`
	AimMS     int64   `json:"aim_ms"`     // wanted within
	GiveUpMS  int64   `json:"give_up_ms"` // given up after
	Worth     float64 `json:"worth"`
	LateWorth float64 `json:"late_worth"` // share of the worth past the aim
	Least     float64 `json:"least"`      // least share of parts for any answer; 0: all
}

// Budget is what a team may use.
type Budget struct {
	QueriesPerS float64 `json:"queries_per_s"` // that count in full; 0: unlimited
	Further     float64 `json:"further"`       // further attempts for each query and part taken; 0: none beyond the limit a part
}

// Contract is a team's agreement.
type Contract struct {
	Team    string  `json:"team"`
	Classes []Class `json:"classes"`
	Budget  Budget  `json:"budget"`
}

// ErrInvalid is behind every reason to refuse a contract, ErrConflict says that the book has moved on.
var (
	ErrInvalid  = errors.New("invalid contract")
	ErrConflict = errors.New("the book of contracts has another version")
)

const maxTeams, maxClasses = 256, 32

// Check names the first thing that is wrong.
func (c Contract) Check() error {
	invalid := func(format string, args ...any) error {
		return fmt.Errorf("%w: team %q: %s", ErrInvalid, c.Team, fmt.Sprintf(format, args...))
	}
	switch {
	case c.Team == "" || len(c.Team) > 64:
		return invalid("needs a name of at most 64 bytes")
	case len(c.Classes) == 0 || len(c.Classes) > maxClasses:
		return invalid("%d classes, 1 to %d wanted", len(c.Classes), maxClasses)
	case !(c.Budget.QueriesPerS >= 0) || !(c.Budget.Further >= 0):
		return invalid("a budget below 0")
	}
	seen := map[string]bool{}
	for _, k := range c.Classes {
		switch {
		case k.Name == "" || seen[k.Name]:
			return invalid("class %q has no name or comes twice", k.Name)
		case k.AimMS <= 0 || k.GiveUpMS < k.AimMS || k.GiveUpMS > time.Hour.Milliseconds():
			return invalid("class %q is wanted within %d ms and given up after %d", k.Name, k.AimMS, k.GiveUpMS)
		case !(k.Worth > 0) || !(k.LateWorth >= 0 && k.LateWorth <= 1) || !(k.Least >= 0 && k.Least <= 1):
			return invalid("class %q has worth %v, late %v, least %v", k.Name, k.Worth, k.LateWorth, k.Least)
		}
		seen[k.Name] = true
	}
	return nil
}

// Book is all contracts at one version. Values are never changed once they are in a book.
type Book struct {
	Version   uint64              `json:"version"`
	Contracts map[string]Contract `json:"contracts"`
}

// Change puts or removes a contract.
type Change struct {
	Expect uint64    `json:"expect"` // the version it was made for
	Put    *Contract `json:"put,omitempty"`
	Remove string    `json:"remove,omitempty"`
}

// Apply returns the book with a change made. Every instance that applies the same changes has the same book.
func (b Book) Apply(c Change) (Book, error) {
	if c.Expect != b.Version {
		return b, fmt.Errorf("%w: it is %d and not %d", ErrConflict, b.Version, c.Expect)
	}
	next := Book{Version: b.Version + 1, Contracts: maps.Clone(b.Contracts)}
	if next.Contracts == nil {
		next.Contracts = map[string]Contract{}
	}
	switch {
	case c.Put != nil && c.Remove == "":
		if err := c.Put.Check(); err != nil {
			return b, err
		}
		next.Contracts[c.Put.Team] = *c.Put
		if len(next.Contracts) > maxTeams {
			return b, fmt.Errorf("%w: more than %d teams", ErrInvalid, maxTeams)
		}
	case c.Put == nil && c.Remove != "":
		if _, ok := next.Contracts[c.Remove]; !ok {
			return b, fmt.Errorf("%w: no team %q", ErrInvalid, c.Remove)
		}
		delete(next.Contracts, c.Remove)
	default:
		return b, fmt.Errorf("%w: a change either puts or removes", ErrInvalid)
	}
	return next, nil
}

// decode reads a change as it stands in the log.
func decode(text []byte) (Change, error) {
	var c Change
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		return c, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return c, nil
}

// Settings puts the book into the settings of the decisions: a class for each team's class, named team/class, a
// tenant for each team, and the budget of further attempts. All searches are safe to repeat. An empty book leaves
// the settings as they are.
func (b Book) Settings(base policy.Settings) policy.Settings {
	if len(b.Contracts) == 0 {
		return base
	}
	base.Classes, base.Tenants = nil, nil
	further, weights := 0.0, 0.0
	for _, team := range slices.Sorted(maps.Keys(b.Contracts)) {
		c := b.Contracts[team]
		base.Tenants = append(base.Tenants, policy.Tenant{Name: team, AllowancePer: c.Budget.QueriesPerS})
		for _, k := range c.Classes {
			least := k.Least
			if least == 0 {
				least = 1
			}
			base.Classes = append(base.Classes, policy.Class{Name: team + "/" + k.Name, Aim: k.AimMS * 1000,
				GiveUp: k.GiveUpMS * 1000, Worth: k.Worth, LateWorth: k.LateWorth, Effect: policy.Safe,
				Need: 1, Least: least, PartialEarns: 1})
		}
		weight := max(c.Budget.QueriesPerS, 1)
		further, weights = further+weight*c.Budget.Further, weights+weight
	}
	if further > 0 { // the decisions know one budget: the teams' ones, each by its traffic
		base.BudgetSpan, base.BudgetShare, base.BudgetFree = 10_000_000, further/weights, 10
	}
	return base
}
