package inifile

// MaxSize is the maximum size of a file in bytes. It has room for 1,024 stores and 1,024 indices with half a KiB each, and
// for comments between them.
const MaxSize = 1 << 20

// File is a parsed file, with the faults found in it so far.
type File struct {
	Name     string
	Text     string
	Sections []*Section // in the order of the file

	faults    Faults
	malformed bool
}

// SectionsOf returns the sections of a kind, in the order of the file.
func (f *File) SectionsOf(kind string) []*Section {
	var sections []*Section
	for _, s := range f.Sections {
		if s.Kind == kind {
			sections = append(sections, s)
		}
	}
	return sections
}

// Section returns the section of a kind that has no name. If the file has none, the section is empty and not Present.
func (f *File) Section(kind string) *Section {
	for _, s := range f.SectionsOf(kind) {
		if s.Name == "" {
			return s
		}
	}
	return &Section{Kind: kind, file: f}
}

// CheckKinds adds a fault for each section whose kind is not in the map, and for each section that lacks a name or must not
// have one. The map's values tell whether sections of a kind have names.
func (f *File) CheckKinds(kinds map[string]bool) {
	for _, s := range f.Sections {
		named, known := kinds[s.Kind]
		switch {
		case !known:
			f.addFault(s.Line, s.title(), "unknown section")
		case named && s.Name == "":
			f.addFault(s.Line, s.title(), "needs a name: expected [%s NAME]", s.Kind)
		case !named && s.Name != "":
			f.addFault(s.Line, s.title(), "must not have a name: expected [%s]", s.Kind)
		}
	}
}
