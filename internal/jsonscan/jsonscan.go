// Package jsonscan walks JSON text in place. It checks the text and hands out slices of it, so that what only
// passes through stays the bytes that came.
package jsonscan

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
)

// ErrSyntax is behind every error about text that is not JSON, or not of the kind that was asked for.
var ErrSyntax = errors.New("malformed JSON")

// maxDepth bounds nesting: deeper text is an attack on the stack, not a query.
const maxDepth = 64

func bad(at int, what string) error { return fmt.Errorf("%w: %s at byte %d", ErrSyntax, what, at) }

func space(b []byte, i int) int {
	for i < len(b) && (b[i] == ' ' || b[i] == '\t' || b[i] == '\n' || b[i] == '\r') {
		i++
	}
	return i
}

// skip returns where the value that begins at i ends.
func skip(b []byte, i, depth int) (int, error) {
	if depth > maxDepth {
		return 0, bad(i, "nesting too deep")
	}
	if i >= len(b) {
		return 0, bad(i, "a value is missing")
	}
	switch b[i] {
	case '{':
		return walk(b, i, '}', depth, func(string, []byte) error { return nil })
	case '[':
		return walk(b, i, ']', depth, func(string, []byte) error { return nil })
	case '"':
		return skipString(b, i)
	case 't', 'f', 'n':
		for _, word := range []string{"true", "false", "null"} {
			if end := i + len(word); end <= len(b) && string(b[i:end]) == word {
				return end, nil
			}
		}
		return 0, bad(i, "unknown word")
	}
	return skipNumber(b, i)
}

func skipString(b []byte, i int) (int, error) {
	for j := i + 1; j < len(b); j++ {
		switch c := b[j]; {
		case c == '"':
			return j + 1, nil
		case c < 0x20:
			return 0, bad(j, "control character in a string")
		case c == '\\':
			j++
			if j >= len(b) {
				return 0, bad(i, "unfinished string")
			}
			switch b[j] {
			case '"', '\\', '/', 'b', 'f', 'n', 'r', 't':
			case 'u':
				if j+4 >= len(b) {
					return 0, bad(i, "unfinished string")
				}
				if _, err := strconv.ParseUint(string(b[j+1:j+5]), 16, 16); err != nil {
					return 0, bad(j, "bad escape")
				}
				j += 4
			default:
				return 0, bad(j, "bad escape")
			}
		}
	}
	return 0, bad(i, "unfinished string")
}

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
		return 0, bad(i, "no value")
	}
	if j < len(b) && b[j] == '.' {
		j++
		if !digits() {
			return 0, bad(i, "bad number")
		}
	}
	if j < len(b) && (b[j] == 'e' || b[j] == 'E') {
		j++
		if j < len(b) && (b[j] == '+' || b[j] == '-') {
			j++
		}
		if !digits() {
			return 0, bad(i, "bad number")
		}
	}
	return j, nil
}

// walk visits the members of the object or array that begins at i and returns where it ends.
func walk(b []byte, i int, closer byte, depth int, f func(key string, raw []byte) error) (int, error) {
	i = space(b, i+1)
	if i < len(b) && b[i] == closer {
		return i + 1, nil
	}
	for {
		key := ""
		if closer == '}' {
			if i >= len(b) || b[i] != '"' {
				return 0, bad(i, "a key is missing")
			}
			end, err := skipString(b, i)
			if err != nil {
				return 0, err
			}
			if key, err = String(b[i:end]); err != nil {
				return 0, err
			}
			if i = space(b, end); i >= len(b) || b[i] != ':' {
				return 0, bad(i, "a colon is missing")
			}
			i = space(b, i+1)
		}
		end, err := skip(b, i, depth+1)
		if err != nil {
			return 0, err
		}
		if err := f(key, b[i:end]); err != nil {
			return 0, err
		}
		if i = space(b, end); i >= len(b) {
			return 0, bad(i, "unfinished object or array")
		}
		if b[i] == closer {
			return i + 1, nil
		}
		if b[i] != ',' {
			return 0, bad(i, "a comma is missing")
		}
		i = space(b, i+1)
	}
}

func whole(b []byte, opener, closer byte, f func(string, []byte) error) error {
	i := space(b, 0)
	if i >= len(b) || b[i] != opener {
		return bad(i, "no "+string(opener))
	}
	end, err := walk(b, i, closer, 0, f)
	if err != nil {
		return err
	}
	if end = space(b, end); end != len(b) {
		return bad(end, "something follows the value")
	}
	return nil
}

// Object calls f with each member of the object that b holds. The bytes given to f are part of b.
func Object(b []byte, f func(key string, raw []byte) error) error { return whole(b, '{', '}', f) }

// Array calls f with each item of the array that b holds.
func Array(b []byte, f func(raw []byte) error) error {
	return whole(b, '[', ']', func(_ string, raw []byte) error { return f(raw) })
}

// Valid tells what is wrong with b as one JSON value.
func Valid(b []byte) error {
	end, err := skip(b, space(b, 0), 0)
	if err == nil && space(b, end) != len(b) {
		err = bad(end, "something follows the value")
	}
	return err
}

// String decodes a string.
func String(raw []byte) (string, error) {
	if len(raw) < 2 || raw[0] != '"' {
		return "", bad(0, "no string")
	}
	for _, c := range raw {
		if c == '\\' || c >= 0x80 {
			var s string
			if err := json.Unmarshal(raw, &s); err != nil {
				return "", fmt.Errorf("%w: %w", ErrSyntax, err)
			}
			return s, nil
		}
	}
	return string(raw[1 : len(raw)-1]), nil
}

// Number decodes a number.
func Number(raw []byte) (float64, error) {
	v, err := strconv.ParseFloat(string(raw), 64)
	if err != nil || len(raw) == 0 || raw[0] != '-' && (raw[0] < '0' || raw[0] > '9') {
		return 0, bad(0, "no number")
	}
	return v, nil
}

// Int decodes a whole number.
func Int(raw []byte) (int64, error) {
	v, err := Number(raw)
	if err == nil && (v != math.Trunc(v) || math.Abs(v) > 1<<53) {
		err = bad(0, "no whole number")
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
	return false, bad(0, "neither true nor false")
}

// AppendString appends text as a JSON string.
func AppendString(to []byte, text []byte) []byte {
	for _, c := range text {
		if c < 0x20 || c >= 0x80 || c == '"' || c == '\\' {
			quoted, err := json.Marshal(string(text))
			if err != nil { // a string always has a form
				quoted = []byte(`""`)
			}
			return append(to, quoted...)
		}
	}
	return append(append(append(to, '"'), text...), '"')
}
