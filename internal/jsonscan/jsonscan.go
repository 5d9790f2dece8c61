// Package jsonscan parses JSON in place: it validates the text and returns slices of it, so that values that are only
// forwarded keep their bytes.
package jsonscan

import (
	"errors"
	"fmt"
	"math"
	"strconv"
)

// ErrSyntax is wrapped by every error about text that is not valid JSON or not of the requested type.
var ErrSyntax = errors.New("malformed JSON")

// maxDepth limits the nesting of objects and arrays, and with it the use of the stack.
const maxDepth = 64

func syntaxError(offset int, problem string) error {
	return fmt.Errorf("%w: %s at byte %d", ErrSyntax, problem, offset)
}

// skipSpace returns the index of the first byte from i on that is not white space.
func skipSpace(b []byte, i int) int {
	for i < len(b) && (b[i] == ' ' || b[i] == '\t' || b[i] == '\n' || b[i] == '\r') {
		i++
	}
	return i
}

// skipValue returns the index after the value that begins at i. depth is the number of objects and arrays around it.
func skipValue(b []byte, i, depth int) (int, error) {
	if depth > maxDepth {
		return 0, syntaxError(i, "nesting too deep")
	}
	if i >= len(b) {
		return 0, syntaxError(i, "a value is missing")
	}
	switch b[i] {
	case '{':
		return visitMembers(b, i, '}', depth, nil)
	case '[':
		return visitMembers(b, i, ']', depth, nil)
	case '"':
		return skipString(b, i)
	case 't', 'f', 'n':
		for _, literal := range []string{"true", "false", "null"} {
			if end := i + len(literal); end <= len(b) && string(b[i:end]) == literal {
				return end, nil
			}
		}
		return 0, syntaxError(i, "unknown word")
	}
	return skipNumber(b, i)
}

// isPlain tells for each byte whether it stands for itself within a string.
var isPlain = func() (plain [256]bool) {
	for c := range plain {
		plain[c] = c >= 0x20 && c != '"' && c != '\\'
	}
	return plain
}()

// skipString returns the index after the string that begins at i.
func skipString(b []byte, i int) (int, error) {
	for j := i + 1; j < len(b); j++ {
		if isPlain[b[j]] {
			continue
		}
		switch c := b[j]; {
		case c == '"':
			return j + 1, nil
		case c < 0x20:
			return 0, syntaxError(j, "control character in a string")
		case c == '\\':
			j++
			if j >= len(b) {
				return 0, syntaxError(i, "unfinished string")
			}
			switch b[j] {
			case '"', '\\', '/', 'b', 'f', 'n', 'r', 't':
			case 'u':
				if j+4 >= len(b) {
					return 0, syntaxError(i, "unfinished string")
				}
				if _, err := strconv.ParseUint(string(b[j+1:j+5]), 16, 16); err != nil {
					return 0, syntaxError(j, "bad escape")
				}
				j += 4
			default:
				return 0, syntaxError(j, "bad escape")
			}
		}
	}
	return 0, syntaxError(i, "unfinished string")
}

// skipNumber returns the index after the number that begins at i.
func skipNumber(b []byte, i int) (int, error) {
	j := i
	digits := func() bool {
		from := j
		for j < len(b) && b[j] >= '0' && b[j] <= '9' {
			j++
		}
		return j > from
	}
	if j < len(b) && b[j] == '-' {
		j++
	}
	first := j
	if !digits() || b[first] == '0' && j > first+1 {
		return 0, syntaxError(i, "no value")
	}
	if j < len(b) && b[j] == '.' {
		j++
		if !digits() {
			return 0, syntaxError(i, "bad number")
		}
	}
	if j < len(b) && (b[j] == 'e' || b[j] == 'E') {
		j++
		if j < len(b) && (b[j] == '+' || b[j] == '-') {
			j++
		}
		if !digits() {
			return 0, syntaxError(i, "bad number")
		}
	}
	return j, nil
}

// visitMembers calls visit for each member of the object or array that begins at i, with an empty key in an array, and
// returns the index after it. If visit is nil, the keys are not decoded.
func visitMembers(b []byte, i int, closer byte, depth int, visit func(key string, raw []byte) error) (int, error) {
	i = skipSpace(b, i+1)
	if i < len(b) && b[i] == closer {
		return i + 1, nil
	}
	for {
		var rawKey []byte
		if closer == '}' {
			var err error
			if rawKey, i, err = skipKey(b, i); err != nil {
				return 0, err
			}
		}
		end, err := skipValue(b, i, depth+1)
		if err != nil {
			return 0, err
		}
		if visit != nil {
			if err := visitMember(rawKey, b[i:end], visit); err != nil {
				return 0, err
			}
		}
		if i = skipSpace(b, end); i >= len(b) {
			return 0, syntaxError(i, "unfinished object or array")
		}
		if b[i] == closer {
			return i + 1, nil
		}
		if b[i] != ',' {
			return 0, syntaxError(i, "a comma is missing")
		}
		i = skipSpace(b, i+1)
	}
}

// visitMember calls visit with a member's decoded key. An item of an array has no key.
func visitMember(rawKey, raw []byte, visit func(key string, raw []byte) error) error {
	if rawKey == nil {
		return visit("", raw)
	}
	key, err := String(rawKey)
	if err != nil {
		return err
	}
	return visit(key, raw)
}

// skipKey returns the key that begins at i, and the index at which its value begins.
func skipKey(b []byte, i int) (rawKey []byte, valueStart int, err error) {
	if i >= len(b) || b[i] != '"' {
		return nil, 0, syntaxError(i, "a key is missing")
	}
	end, err := skipString(b, i)
	if err != nil {
		return nil, 0, err
	}
	colon := skipSpace(b, end)
	if colon >= len(b) || b[colon] != ':' {
		return nil, 0, syntaxError(colon, "a colon is missing")
	}
	return b[i:end], skipSpace(b, colon+1), nil
}

// visitValue calls visit for each member of the object or array that b holds. Only white space may follow the value.
func visitValue(b []byte, opener, closer byte, visit func(string, []byte) error) error {
	i := skipSpace(b, 0)
	if i >= len(b) || b[i] != opener {
		return syntaxError(i, "no "+string(opener))
	}
	end, err := visitMembers(b, i, closer, 0, visit)
	if err != nil {
		return err
	}
	if end = skipSpace(b, end); end != len(b) {
		return syntaxError(end, "something follows the value")
	}
	return nil
}

// Object calls visit for each member of the object that b holds. The bytes passed to visit are a slice of b.
func Object(b []byte, visit func(key string, raw []byte) error) error {
	return visitValue(b, '{', '}', visit)
}

// Array calls visit for each item of the array that b holds. The bytes passed to visit are a slice of b.
func Array(b []byte, visit func(raw []byte) error) error {
	return visitValue(b, '[', ']', func(_ string, raw []byte) error { return visit(raw) })
}

// Valid returns nil if b is a single JSON value, else an error that wraps ErrSyntax.
func Valid(b []byte) error {
	end, err := skipValue(b, skipSpace(b, 0), 0)
	if err == nil && skipSpace(b, end) != len(b) {
		err = syntaxError(end, "something follows the value")
	}
	return err
}

// Number decodes a number.
func Number(raw []byte) (float64, error) {
	v, err := strconv.ParseFloat(string(raw), 64)
	if err != nil || len(raw) == 0 || raw[0] != '-' && (raw[0] < '0' || raw[0] > '9') {
		return 0, syntaxError(0, "no number")
	}
	return v, nil
}

// maxExactInteger is the number up to which a float64 represents every integer exactly.
const maxExactInteger = 1 << 53

// Int decodes an integer of at most 2^53 in absolute value, in any form that JSON allows, such as 3e2.
func Int(raw []byte) (int64, error) {
	v, err := Number(raw)
	if err == nil && (v != math.Trunc(v) || math.Abs(v) > maxExactInteger) {
		err = syntaxError(0, "no whole number")
	}
	if err != nil {
		return 0, err
	}
	return int64(v), nil
}

// Bool decodes true or false.
func Bool(raw []byte) (bool, error) {
	if s := string(raw); s == "true" || s == "false" {
		return s == "true", nil
	}
	return false, syntaxError(0, "neither true nor false")
}
