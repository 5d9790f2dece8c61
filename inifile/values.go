package inifile

import (
	"cmp"
	"math"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
)

// maxPort is the highest port number.
const maxPort = 65535

// value returns the value of a key and reports whether it has one. An empty value counts as missing.
func (s *Section) value(name string) (string, bool) {
	k := s.find(name)
	if k == nil {
		return "", false
	}
	k.used = true
	return k.value, k.value != ""
}

// Text returns the value of a key, or a default if it is missing.
func (s *Section) Text(name, def string) string {
	if v, ok := s.value(name); ok {
		return v
	}
	return def
}

// Required returns the value of a key, and adds a fault if it is missing.
func (s *Section) Required(name string) string {
	v, ok := s.value(name)
	if !ok {
		s.Fault(name, "is missing")
	}
	return v
}

// parseBetween returns the value of a key between two bounds, both allowed, or a default if it is missing. An invalid value is
// a fault and gives the default too. form describes valid values.
func parseBetween[T cmp.Ordered](s *Section, name string, def, lowest, highest T, form string, parse func(string) (T, error)) T {
	v, ok := s.value(name)
	if !ok {
		return def
	}
	parsed, err := parse(v)
	if err != nil {
		s.Fault(name, "invalid value %q: expected a %s", v, form)
		return def
	}
	if parsed < lowest || parsed > highest {
		s.Fault(name, "is %v, but must be between %v and %v", parsed, lowest, highest)
		return def
	}
	return parsed
}

// Duration returns a duration such as 250ms or 2s between two bounds, or a default if it is missing.
func (s *Section) Duration(name string, def, lowest, highest time.Duration) time.Duration {
	return parseBetween(s, name, def, lowest, highest, "duration such as 250ms or 2s", time.ParseDuration)
}

// Int returns an integer between two bounds, or a default if it is missing.
func (s *Section) Int(name string, def, lowest, highest int) int {
	return parseBetween(s, name, def, lowest, highest, "whole number", strconv.Atoi)
}

// Float returns a finite number between two bounds, or a default if it is missing.
func (s *Section) Float(name string, def, lowest, highest float64) float64 {
	return parseBetween(s, name, def, lowest, highest, "number", parseFinite)
}

func parseFinite(text string) (float64, error) {
	v, err := strconv.ParseFloat(text, 64)
	if err == nil && (math.IsNaN(v) || math.IsInf(v, 0)) {
		err = strconv.ErrRange
	}
	return v, err
}

// Bool reports whether the value of a key is yes rather than no, and returns a default if it is missing.
func (s *Section) Bool(name string, def bool) bool {
	text := "no"
	if def {
		text = "yes"
	}
	return s.Choice(name, text, "yes", "no") == "yes"
}

// Choice returns the value of a key, which must be one of the choices, or a default if it is missing.
func (s *Section) Choice(name, def string, choices ...string) string {
	v, ok := s.value(name)
	if !ok {
		return def
	}
	if !slices.Contains(choices, v) {
		s.Fault(name, "invalid value %q: expected one of %s", v, strings.Join(choices, ", "))
		return def
	}
	return v
}

// Addr returns an address of the form host:port, or an empty string if it is missing or invalid.
func (s *Section) Addr(name string) string {
	v, ok := s.value(name)
	if !ok {
		return ""
	}
	host, port, err := net.SplitHostPort(v)
	number, portErr := strconv.Atoi(port)
	if err != nil || host == "" || portErr != nil || number < 0 || number > maxPort {
		s.Fault(name, "invalid address %q: expected HOST:PORT, such as 127.0.0.1:9200", v)
		return ""
	}
	return v
}

// AddrPorts returns a comma-separated list of IPv4 addresses with ports, such as 10.0.0.4:7946, or nil if it is missing.
// Invalid addresses are faults and left out.
func (s *Section) AddrPorts(name string) []netip.AddrPort {
	v, ok := s.value(name)
	if !ok {
		return nil
	}
	var addrs []netip.AddrPort
	for item := range strings.SplitSeq(v, ",") {
		item = strings.TrimSpace(item)
		addr, err := netip.ParseAddrPort(item)
		if err != nil || !addr.Addr().Is4() || addr.Port() == 0 {
			s.Fault(name, "invalid address %q: expected an IPv4 address and a port, such as 10.0.0.4:7946", item)
			continue
		}
		addrs = append(addrs, addr)
	}
	return addrs
}

// Range returns a list of distinct integers from 0 to limit-1, which is written with ranges such as "0-3, 7". The key is
// required.
func (s *Section) Range(name string, limit int) []int {
	v := s.Required(name)
	if v == "" {
		return nil
	}
	var numbers []int
	seen := map[int]bool{}
	for item := range strings.SplitSeq(v, ",") {
		first, last, err := parseSpan(strings.TrimSpace(item))
		if err != nil || first < 0 || last < first {
			s.Fault(name, "invalid list %q: expected numbers and ranges, such as 0-3, 7", v)
			return nil
		}
		if last >= limit {
			s.Fault(name, "%d is not below %d", last, limit)
			return nil
		}
		for n := first; n <= last; n++ {
			if seen[n] {
				s.Fault(name, "%d occurs twice", n)
				return nil
			}
			seen[n] = true
			numbers = append(numbers, n)
		}
	}
	return numbers
}

// parseSpan parses a range such as 0-3, or a single number, which is both the first and the last.
func parseSpan(text string) (first, last int, err error) {
	from, to, isSpan := strings.Cut(text, "-")
	if first, err = strconv.Atoi(from); err != nil {
		return 0, 0, err
	}
	if !isSpan {
		return first, first, nil
	}
	last, err = strconv.Atoi(to)
	return first, last, err
}
