package opensearch

import (
	"bytes"
	"cmp"
	"fmt"
	"strings"

	"alderproxy/internal/jsonscan"
)

// sortKey is one key of a search's sort order. It holds only what the merge needs: a search may have thousands of keys, and is kept
// until its stores have answered.
type sortKey struct {
	descending   bool
	missingFirst bool
}

// parseSort parses a sort in any of its forms: the name of a field, an object, or a list of these.
func parseSort(raw []byte) ([]sortKey, error) {
	var keys []sortKey
	appendKeys := func(raw []byte) (err error) {
		keys, err = appendSortKeys(keys, raw)
		return err
	}
	var err error
	if raw[0] == '[' {
		err = jsonscan.Array(raw, appendKeys)
	} else {
		err = appendKeys(raw)
	}
	return keys, err
}

// appendSortKeys parses the name of a field, or an object with a member for each field, and appends the sort keys.
func appendSortKeys(keys []sortKey, raw []byte) ([]sortKey, error) {
	if raw[0] == '"' {
		name, err := jsonscan.String(raw)
		if err != nil {
			return nil, err
		}
		key, err := newSortKey(name)
		return append(keys, key), err
	}
	err := jsonscan.Object(raw, func(name string, raw []byte) error {
		key, err := newSortKey(name)
		if err != nil {
			return err
		}
		keys = append(keys, key)
		return keys[len(keys)-1].parse(raw)
	})
	return keys, err
}

// newSortKey returns a key with the field's default order: descending for _score, else ascending.
func newSortKey(field string) (sortKey, error) {
	switch field {
	case "_geo_distance", "_script", "_shard_doc":
		return sortKey{}, unsupported("sort by " + field)
	}
	return sortKey{descending: field == "_score"}, nil
}

// parse parses the order of a key, or an object with its options.
func (k *sortKey) parse(raw []byte) error {
	if raw[0] == '"' {
		return k.parseOrder(raw)
	}
	return jsonscan.Object(raw, func(option string, raw []byte) error {
		switch option {
		case "order":
			return k.parseOrder(raw)
		case "missing":
			k.missingFirst = string(raw) == `"_first"`
		case "mode", "unmapped_type", "format", "numeric_type": // applied by the stores
		default:
			return unsupported("sort option " + option)
		}
		return nil
	})
}

func (k *sortKey) parseOrder(raw []byte) error {
	order, err := jsonscan.String(raw)
	if err == nil && order != "asc" && order != "desc" {
		err = fmt.Errorf("order %q", order)
	}
	k.descending = order == "desc"
	return err
}

// compare compares hits by the search's sort, or by descending score if it has none.
func (s *searchRequest) compare(x, y hit) int {
	if len(s.sort) == 0 {
		return cmp.Compare(y.score, x.score)
	}
	for i, key := range s.sort {
		if order := key.compare(x.sort[i], y.sort[i]); order != 0 {
			return order
		}
	}
	return 0
}

// compare compares two sort values of the key. Missing values come last, or first if missingFirst is set, whether the order is
// ascending or descending.
func (k *sortKey) compare(a, b []byte) int {
	missingA, missingB := string(a) == "null", string(b) == "null"
	switch {
	case missingA && missingB:
		return 0
	case missingA == k.missingFirst && missingA != missingB:
		return -1
	case missingA != missingB:
		return 1
	}
	if k.descending {
		return -compareValues(a, b)
	}
	return compareValues(a, b)
}

// compareValues compares two sort values. Integers are compared as integers, since dates in nanoseconds and long ids that
// differ can be equal as floating-point numbers.
func compareValues(a, b []byte) int {
	if a[0] == '"' || b[0] == '"' {
		x, errX := jsonscan.String(a)
		y, errY := jsonscan.String(b)
		if errX != nil || errY != nil {
			return bytes.Compare(a, b)
		}
		return strings.Compare(x, y)
	}
	if x, okX := parseInteger(a); okX {
		if y, okY := parseInteger(b); okY {
			return cmp.Compare(x, y)
		}
	}
	x, errX := jsonscan.Number(a)
	y, errY := jsonscan.Number(b)
	if errX != nil || errY != nil {
		return bytes.Compare(a, b)
	}
	return cmp.Compare(x, y)
}

// maxIntegerDigits is the number of decimal digits that always fit into an int64.
const maxIntegerDigits = 18

// parseInteger parses a number without fraction and exponent, and reports whether raw is one of at most maxIntegerDigits
// digits.
func parseInteger(raw []byte) (v int64, ok bool) {
	digits, negative := bytes.CutPrefix(raw, []byte("-"))
	if len(digits) == 0 || len(digits) > maxIntegerDigits {
		return 0, false
	}
	for _, c := range digits {
		if c < '0' || c > '9' {
			return 0, false
		}
		v = v*10 + int64(c-'0')
	}
	if negative {
		v = -v
	}
	return v, true
}
