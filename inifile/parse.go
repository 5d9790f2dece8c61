package inifile

import (
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// Read parses the text of a file. File.Err returns the faults.
func Read(name, text string) *File {
	f := &File{Name: name, Text: text}
	f.parse(text)
	f.malformed = len(f.faults) > 0
	return f
}

func (f *File) parse(text string) {
	switch {
	case len(text) > MaxSize:
		f.addFault(0, "", "is larger than %d bytes", MaxSize)
		return
	case !utf8.ValidString(text):
		f.addFault(0, "", "is not UTF-8")
		return
	}
	text = strings.TrimPrefix(text, "\uFEFF")
	f.scan(text)
	if len(f.faults) == 0 {
		f.readValues(text)
	}
}

// readValues sets the values of all keys as the library reads them. The scan has already rejected the looser forms that the
// library accepts: continued lines, quoted values, and keys and sections that occur twice.
func (f *File) readValues(text string) {
	options := ini.LoadOptions{IgnoreContinuation: true, SpaceBeforeInlineComment: true, KeyValueDelimiters: "="}
	read, err := ini.LoadSources(options, []byte(text))
	if err != nil {
		f.addFault(0, "", "%v", strings.ReplaceAll(err.Error(), "\n", " "))
		return
	}
	for _, s := range f.Sections {
		values := read.Section(s.title())
		if count := len(values.Keys()); count != len(s.keys) {
			f.addFault(s.Line, s.title(), "has %d keys, but the INI library has read %d", len(s.keys), count)
			return
		}
		for _, k := range s.keys {
			k.value = values.Key(k.name).Value()
		}
	}
}

// scan finds the sections and keys with their line numbers, which the library does not report.
func (f *File) scan(text string) {
	scanner := lineScanner{file: f, titles: map[string]int{}}
	for line := range strings.Lines(text) {
		scanner.line++
		scanner.scan(strings.TrimSpace(line))
		if scanner.section != nil {
			scanner.section.LastLine = scanner.line
		}
	}
}

// lineScanner is the state of a scan.
type lineScanner struct {
	file    *File
	line    int            // number of the current line, from 1
	section *Section       // the current section; nil: none has begun, or its header is invalid
	titles  map[string]int // the line number of each section by its title
}

func (s *lineScanner) scan(line string) {
	switch {
	case strings.ContainsFunc(line, isControl):
		s.file.addFault(s.line, "", "invalid line: contains a control character")
	case line == "" || isComment(line):
	case line[0] == '[':
		s.scanSection(line)
	default:
		s.scanKey(line)
	}
}

func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

func isComment(text string) bool { return text[0] == '#' || text[0] == ';' }

// scanSection reads a section header such as [class lookup], which a comment may follow.
func (s *lineScanner) scanSection(line string) {
	title, rest, closed := strings.Cut(line[1:], "]")
	kind, name, named := strings.Cut(title, " ")
	rest = strings.TrimSpace(rest)
	badName := named && (name == "" || strings.ContainsAny(name, " \t\"'`["))
	if !closed || !isIdentifier(kind) || badName || rest != "" && !isComment(rest) {
		s.file.addFault(s.line, "", "invalid section header: expected [KIND] or [KIND NAME]")
		s.section = nil
		return
	}
	s.section = &Section{Kind: kind, Name: name, Line: s.line, file: s.file}
	if first := s.titles[title]; first > 0 {
		s.file.addFault(s.line, title, "duplicate section: first in line %d", first)
	}
	s.titles[title] = s.line
	s.file.Sections = append(s.file.Sections, s.section)
}

// scanKey reads a line such as timeout = 2s.
func (s *lineScanner) scanKey(line string) {
	name, value, assigned := strings.Cut(line, "=")
	name = strings.TrimSpace(name)
	value = strings.TrimSpace(value)
	switch {
	case !assigned || !isIdentifier(name):
		s.file.addFault(s.line, "", "invalid line: expected a section header or key = value")
	case s.section == nil:
		s.file.addFault(s.line, name, "is outside of any section")
	case value != "" && strings.ContainsRune("\"'`", rune(value[0])):
		s.file.addFault(s.line, s.section.title()+"."+name, "values must not be quoted")
	case s.section.find(name) != nil:
		s.file.addFault(s.line, s.section.title()+"."+name, "duplicate key: first in line %d", s.section.find(name).line)
	default:
		s.section.keys = append(s.section.keys, &key{name: name, line: s.line})
	}
}

// isIdentifier reports whether a text consists of lower-case letters, digits and underscores, and is not empty.
func isIdentifier(text string) bool {
	for _, c := range text {
		isLetter := c >= 'a' && c <= 'z'
		isDigit := c >= '0' && c <= '9'
		if !isLetter && !isDigit && c != '_' {
			return false
		}
	}
	return text != ""
}
