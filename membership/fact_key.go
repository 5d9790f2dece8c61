package membership

import (
	"slices"
	"strconv"
)

// numericFactBase is the numeral base in which numeric facts are encoded.
const numericFactBase = 36

// FactKey is the name of a fact on the wire, together with the encoding of its values.
type FactKey[T any] struct {
	Name   string
	format func(T) string
	parse  func(string) (T, error)
}

// NewFactKey returns the key of a fact. The format function must not return an empty string, because an empty value
// withdraws the fact.
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

// The keys of the facts that instances publish.
var (
	// DocumentVersionFact is the key of the version of the shared configuration that is active at an instance.
	DocumentVersionFact = NumericFactKey("document")
	// StoresDigestFact is the key of the digest of the stores that an instance uses.
	StoresDigestFact = NumericFactKey("stores")
)

// Publish returns the event that publishes a value, which expires after the TTL.
func (k FactKey[T]) Publish(value T, ttl Micros) PublishFact {
	return PublishFact{Name: k.Name, Value: k.format(value), TTL: ttl}
}

// Withdraw returns the event that withdraws the value. The withdrawal is remembered until the TTL expires.
func (k FactKey[T]) Withdraw(ttl Micros) PublishFact { return PublishFact{Name: k.Name, TTL: ttl} }

// Value returns a member's value. It returns false if the member has no value or one that cannot be parsed; a later
// version of the program may publish such values.
func (k FactKey[T]) Value(member Member) (value T, ok bool) {
	i := slices.IndexFunc(member.Facts, func(fact Fact) bool { return fact.Name == k.Name })
	if i < 0 {
		return value, false
	}
	value, err := k.parse(member.Facts[i].Value)
	return value, err == nil
}
