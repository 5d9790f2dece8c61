package membership

import (
	"slices"
	"strconv"
)

// numericFactBase is the base in which numeric facts are written.
const numericFactBase = 36

// FactKey is the name of a fact on the wire together with the encoding of its values.
type FactKey[T any] struct {
	Name   string
	format func(T) string
	parse  func(string) (T, error)
}

// NewFactKey returns the key of a fact. Format must not return an empty string, which withdraws the fact.
func NewFactKey[T any](name string, format func(T) string, parse func(string) (T, error)) FactKey[T] {
	return FactKey[T]{Name: name, format: format, parse: parse}
}

// NumericFactKey returns the key of a fact whose values are numbers.
func NumericFactKey(name string) FactKey[uint64] {
	return NewFactKey(
		name,
		func(value uint64) string { return strconv.FormatUint(value, numericFactBase) },
		func(text string) (uint64, error) { return strconv.ParseUint(text, numericFactBase, 64) },
	)
}

// The facts that instances publish.
var (
	// DocumentVersionFact is the version of the shared configuration that an instance serves by.
	DocumentVersionFact = NumericFactKey("document")
	// EndpointListDigestFact is the digest of the endpoint lists that an instance serves by.
	EndpointListDigestFact = NumericFactKey("stores")
)

// Publish returns the event that attaches a value for the duration of a TTL.
func (k FactKey[T]) Publish(value T, ttl Micros) PublishFact {
	return PublishFact{Name: k.Name, Value: k.format(value), TTL: ttl}
}

// Withdraw returns the event that withdraws the value. The withdrawal is remembered for the duration of a TTL.
func (k FactKey[T]) Withdraw(ttl Micros) PublishFact { return PublishFact{Name: k.Name, TTL: ttl} }

// Value returns a member's value. It returns false if the member has none, or one that cannot be parsed, as a later
// version of the program may publish.
func (k FactKey[T]) Value(member Member) (value T, ok bool) {
	i := slices.IndexFunc(member.Facts, func(fact Fact) bool { return fact.Name == k.Name })
	if i < 0 {
		return value, false
	}
	value, err := k.parse(member.Facts[i].Value)
	return value, err == nil
}
