// Package inifile reads INI files strictly, on gopkg.in/ini.v1: every section and key must be known, none may come
// twice, and each fault is named with its file, line, section and key.
package inifile

import (
	"cmp"
	"fmt"
	"math"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// MaxSize bounds a file, in bytes: 1,024 stores and 1,024 indices with half a KiB for each, and the comments between.
const MaxSize = 1 << 20

// Fault is one thing wrong with a file.
type Fault struct {
	File string
	Line int    // from 1; 0: of the file as a whole
	At   string // section.key, or the section; empty: neither
	What string
}

// Error is FILE:LINE: section.key: what is wrong.
func (f Fault) Error() string {
	at := ""
	if f.At != "" {
		at = f.At + ": "
	}
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s%s", f.File, at, f.What)
	}
	return fmt.Sprintf("%s:%d: %s%s", f.File, f.Line, at, f.What)
}

// Faults is all that is wrong with a file, by line.
type Faults []Fault

// Error is the first fault: one line.
func (f Faults) Error() string { return f[0].Error() }

// File is a file that was read.
type File struct {
	Name     string
	Text     string
	Sections []*Section
	faults   Faults
	broken   bool
}

// Section is one section. "[class a]" has the kind class and the name a, "[limits]" no name.
type Section struct {
	Kind, Name string
	Line       int
	Last       int // its last line
	file       *File
	keys       []*key
}

type key struct {
	name, value string
	line        int
	used        bool
}

// Read reads a file's text. What it finds wrong is kept until Err is asked for.
func Read(name, text string) *File {
	f := &File{Name: name, Text: text}
	f.read(text)
	f.broken = len(f.faults) > 0
	return f
}

func (f *File) read(text string) {
	switch {
	case len(text) > MaxSize:
		f.fault(0, "", "is over %d bytes", MaxSize)
		return
	case !utf8.ValidString(text):
		f.fault(0, "", "is not UTF-8")
		return
	}
	text = strings.TrimPrefix(text, "\uFEFF")
	f.scan(text)
	if len(f.faults) > 0 {
		return
	}
	// Only what was scanned without fault is read: the library's looser forms (continued lines, quotes, keys and
	// sections that come twice) are not in there.
	read, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation: true, SpaceBeforeInlineComment: true,
		KeyValueDelimiters: "=",
	}, []byte(text))
	if err != nil {
		f.fault(0, "", "%v", strings.ReplaceAll(err.Error(), "\n", " "))
		return
	}
	for _, s := range f.Sections {
		from := read.Section(s.title())
		if got := len(from.Keys()); got != len(s.keys) {
			f.fault(s.Line, s.title(), "%d keys, but %d are read", len(s.keys), got)
			return
		}
		for _, k := range s.keys {
			k.value = from.Key(k.name).Value()
		}
	}
}

// scan finds the lines of sections and keys, which the library doesn't tell.
func (f *File) scan(text string) {
	seen := map[string]int{}
	var at *Section
	n := 0
	for line := range strings.Lines(text) {
		n++
		line = strings.TrimSpace(line)
		switch {
		case strings.ContainsFunc(line, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }):
			f.fault(n, "", "a control character")
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			title, rest, ok := strings.Cut(line[1:], "]")
			kind, name, named := strings.Cut(title, " ")
			rest = strings.TrimSpace(rest)
			if !ok || !isWord(kind) || named && (name == "" || strings.ContainsAny(name, " \t\"'`[")) ||
				rest != "" && rest[0] != '#' && rest[0] != ';' {
				f.fault(n, "", "a section is [kind] or [kind name]")
				at = nil
				continue
			}
			at = &Section{Kind: kind, Name: name, Line: n, file: f}
			if first := seen[title]; first > 0 {
				f.fault(n, title, "comes twice, first in line %d", first)
			}
			seen[title] = n
			f.Sections = append(f.Sections, at)
		default:
			name, value, ok := strings.Cut(line, "=")
			name, value = strings.TrimSpace(name), strings.TrimSpace(value)
			switch {
			case !ok || !isWord(name):
				f.fault(n, "", "neither a section nor key = value")
			case at == nil:
				f.fault(n, name, "stands in no section")
			case value != "" && strings.ContainsRune("\"'`", rune(value[0])):
				f.fault(n, at.title()+"."+name, "values stand without quotes")
			case at.find(name) != nil:
				f.fault(n, at.title()+"."+name, "comes twice, first in line %d", at.find(name).line)
			default:
				at.keys = append(at.keys, &key{name: name, line: n})
			}
		}
		if at != nil {
			at.Last = n
		}
	}
}

func isWord(s string) bool {
	for _, c := range s {
		if !(c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || c == '_') {
			return false
		}
	}
	return s != ""
}

func (f *File) fault(line int, at, format string, args ...any) {
	f.faults = append(f.faults, Fault{f.Name, line, at, fmt.Sprintf(format, args...)})
}

// Of returns the sections of a kind, in order.
func (f *File) Of(kind string) []*Section {
	var of []*Section
	for _, s := range f.Sections {
		if s.Kind == kind {
			of = append(of, s)
		}
	}
	return of
}

// Only returns the one section of a kind that has no name, or an empty one that is not in the file.
func (f *File) Only(kind string) *Section {
	for _, s := range f.Of(kind) {
		if s.Name == "" {
			return s
		}
	}
	return &Section{Kind: kind, file: f}
}

// Known adds a fault for each section of another kind, and for each name or missing name that does not fit: kinds
// tells whether sections of a kind have names.
func (f *File) Known(kinds map[string]bool) {
	for _, s := range f.Sections {
		named, ok := kinds[s.Kind]
		switch {
		case !ok:
			f.fault(s.Line, s.title(), "unknown section")
		case named && s.Name == "":
			f.fault(s.Line, s.title(), "needs a name: [%s NAME]", s.Kind)
		case !named && s.Name != "":
			f.fault(s.Line, s.title(), "has no name: [%s]", s.Kind)
		}
	}
}

// Err is what is wrong, as Faults, or nil.
func (f *File) Err() error {
	if len(f.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(f.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return f.faults
}

// Broken tells whether the text could not even be taken apart: its sections mean nothing.
func (f *File) Broken() bool { return f.broken }

func (s *Section) title() string { return strings.TrimSpace(s.Kind + " " + s.Name) }

// There tells whether the section is in the file.
func (s *Section) There() bool { return s.Line > 0 }

func (s *Section) find(name string) *key {
	for _, k := range s.keys {
		if k.name == name {
			return k
		}
	}
	return nil
}

// Fault adds a fault about a key, or, where key is empty, about the section.
func (s *Section) Fault(name, format string, args ...any) {
	line, at := s.Line, s.title()
	if name != "" {
		at += "." + name
	}
	if k := s.find(name); k != nil {
		line = k.line
	}
	s.file.fault(line, at, format, args...)
}

// Has tells whether the section has a key.
func (s *Section) Has(name string) bool { return s.find(name) != nil }

// Done adds a fault for each key that nobody asked for.
func (s *Section) Done() {
	for _, k := range s.keys {
		if !k.used {
			s.Fault(k.name, "unknown key")
		}
	}
}

// take is a key's value. An empty one counts as missing.
func (s *Section) take(name string) (string, bool) {
	k := s.find(name)
	if k == nil {
		return "", false
	}
	k.used = true
	return k.value, k.value != ""
}

// Text is a key's value; absent: def.
func (s *Section) Text(name, def string) string {
	if v, ok := s.take(name); ok {
		return v
	}
	return def
}

// Need is the value of a key that must be there.
func (s *Section) Need(name string) string {
	v, ok := s.take(name)
	if !ok {
		s.Fault(name, "is missing")
	}
	return v
}

// ranged is a key's value between two bounds; absent: def.
func ranged[T cmp.Ordered](s *Section, name string, def, least, most T, what string, parse func(string) (T, error)) T {
	v, ok := s.take(name)
	if !ok {
		return def
	}
	x, err := parse(v)
	if err != nil {
		s.Fault(name, "%q is no %s", v, what)
		return def
	}
	if x < least || x > most {
		s.Fault(name, "%v is not between %v and %v", x, least, most)
		return def
	}
	return x
}

// Duration is a span such as 250ms or 2s between two bounds; absent: def.
func (s *Section) Duration(name string, def, least, most time.Duration) time.Duration {
	return ranged(s, name, def, least, most, "time such as 250ms or 2s", time.ParseDuration)
}

// Int is a whole number between two bounds; absent: def.
func (s *Section) Int(name string, def, least, most int) int {
	return ranged(s, name, def, least, most, "whole number", strconv.Atoi)
}

// Float is a number between two bounds; absent: def.
func (s *Section) Float(name string, def, least, most float64) float64 {
	return ranged(s, name, def, least, most, "number", func(v string) (float64, error) {
		x, err := strconv.ParseFloat(v, 64)
		if err == nil && (math.IsNaN(x) || math.IsInf(x, 0)) {
			err = strconv.ErrRange
		}
		return x, err
	})
}

// Bool is yes or no; absent: def.
func (s *Section) Bool(name string, def bool) bool {
	return s.Choice(name, map[bool]string{true: "yes", false: "no"}[def], "yes", "no") == "yes"
}

// Choice is one of some words; absent: def.
func (s *Section) Choice(name, def string, words ...string) string {
	v, ok := s.take(name)
	if !ok {
		return def
	}
	if !slices.Contains(words, v) {
		s.Fault(name, "%q is none of %s", v, strings.Join(words, ", "))
		return def
	}
	return v
}

// Addr is an address of the form host:port; absent: empty.
func (s *Section) Addr(name string) string {
	v, ok := s.take(name)
	if !ok {
		return ""
	}
	host, port, err := net.SplitHostPort(v)
	if n, bad := strconv.Atoi(port); err != nil || host == "" || bad != nil || n < 0 || n > 65535 {
		s.Fault(name, "%q is no address such as 127.0.0.1:9200", v)
		return ""
	}
	return v
}

// Places is a list of addresses of machines, each as 10.0.0.4:7946; absent: none.
func (s *Section) Places(name string) []netip.AddrPort {
	v, ok := s.take(name)
	if !ok {
		return nil
	}
	var all []netip.AddrPort
	for part := range strings.SplitSeq(v, ",") {
		a, err := netip.ParseAddrPort(strings.TrimSpace(part))
		if err != nil || !a.Addr().Is4() || a.Port() == 0 {
			s.Fault(name, "%q is no address such as 10.0.0.4:7946", strings.TrimSpace(part))
			continue
		}
		all = append(all, a)
	}
	return all
}

// Numbers is a list of whole numbers from 0 to below a limit, each once: "0-3, 7".
func (s *Section) Numbers(name string, limit int) []int {
	v := s.Need(name)
	var all []int
	seen := map[int]bool{}
	for part := range strings.SplitSeq(v, ",") {
		from, to, span := strings.Cut(strings.TrimSpace(part), "-")
		a, err := strconv.Atoi(from)
		b := a
		if span && err == nil {
			b, err = strconv.Atoi(to)
		}
		if v == "" {
			return nil
		}
		if err != nil || a < 0 || b < a {
			s.Fault(name, "%q is no list such as 0-3, 7", v)
			return nil
		}
		if b >= limit {
			s.Fault(name, "%d is not below %d", b, limit)
			return nil
		}
		for ; a <= b; a++ {
			if seen[a] {
				s.Fault(name, "%d comes twice", a)
				return nil
			}
			seen[a] = true
			all = append(all, a)
		}
	}
	return all
}
