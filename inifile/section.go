package inifile

import "strings"

// Section is one section. The header [class a] gives it the kind class and the name a, and [limits] the kind limits and no
// name.
type Section struct {
	Kind     string
	Name     string
	Line     int // of its header, from 1; 0: the file does not have the section
	LastLine int // last line before the next header or the end of the file, from 1

	file *File
	keys []*key
}

type key struct {
	name  string
	value string
	line  int
	used  bool // the value was requested
}

// title returns the text of the section's header between the brackets.
func (s *Section) title() string { return strings.TrimSpace(s.Kind + " " + s.Name) }

// Present reports whether the section is in the file.
func (s *Section) Present() bool { return s.Line > 0 }

// Has reports whether the section has a key.
func (s *Section) Has(name string) bool { return s.find(name) != nil }

func (s *Section) find(name string) *key {
	for _, k := range s.keys {
		if k.name == name {
			return k
		}
	}
	return nil
}

// Fault adds a fault about a key or, if name is empty, about the section. If the section does not have the key, the line is
// that of the section.
func (s *Section) Fault(name, format string, args ...any) {
	line := s.Line
	location := s.title()
	if name != "" {
		location += "." + name
	}
	if k := s.find(name); k != nil {
		line = k.line
	}
	s.file.addFault(line, location, format, args...)
}

// CheckUnused adds a fault for each key whose value has not been requested, since no other key is known.
func (s *Section) CheckUnused() {
	for _, k := range s.keys {
		if !k.used {
			s.Fault(k.name, "unknown key")
		}
	}
}
