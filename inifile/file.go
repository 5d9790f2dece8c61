package inifile

// MaxSize bounds a file, in bytes: 1,024 stores and 1,024 indices with half a KiB for each, and comments between them.
const MaxSize = 1 << 20

// File is a file that was read.
type File struct {
	Name     string
	Text     string
	Sections []*Section // in the order of the file

	faults    Faults
	malformed bool
}

// SectionsOf returns the sections of a kind, in order.
func (f *File) SectionsOf(kind string) []*Section {
	var sections []*Section
	for _, s := range f.Sections {
		if s.Kind == kind {
			sections = append(sections, s)
		}
	}
	return sections
}

// Section returns the section of a kind that has no name. Where the file has none, it is empty and not Present.
func (f *File) Section(kind string) *Section {
	for _, s := range f.SectionsOf(kind) {
		if s.Name == "" {
			return s
		}
	}
	return &Section{Kind: kind, file: f}
}

// CheckKinds adds a fault for each section of a kind that is not listed, and for each name that is missing or must not be
// there. The map's values say whether sections of a kind have names.
func (f *File) CheckKinds(kinds map[string]bool) {
	for _, s := range f.Sections {
		named, known := kinds[s.Kind]
		switch {
		case !known:
			f.addFault(s.Line, s.title(), "unknown section")
		case named && s.Name == "":
			f.addFault(s.Line, s.title(), "needs a name: [%s NAME]", s.Kind)
		case !named && s.Name != "":
			f.addFault(s.Line, s.title(), "has no name: [%s]", s.Kind)
		}
	}
}
