package inifile

import (
	"cmp"
	"fmt"
	"slices"
)

// Fault is one fault of a file.
type Fault struct { //nolint:errname // a fault is an element of Faults, which is the usual error
	File     string
	Line     int    // from 1; 0: the fault is of the whole file
	Location string // section.key, section or key; empty: none
	Message  string
}

// Error returns the fault as FILE:LINE: LOCATION: MESSAGE, without the parts that it does not have.
func (f Fault) Error() string {
	location := ""
	if f.Location != "" {
		location = f.Location + ": "
	}
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s%s", f.File, location, f.Message)
	}
	return fmt.Sprintf("%s:%d: %s%s", f.File, f.Line, location, f.Message)
}

// Faults holds all faults of a file, sorted by line. It is never empty when it is returned as an error.
type Faults []Fault //nolint:errname // the plural of Fault

// Error returns the first fault, in one line.
func (f Faults) Error() string { return f[0].Error() }

func (f *File) addFault(line int, location, format string, args ...any) {
	f.faults = append(f.faults, Fault{File: f.Name, Line: line, Location: location, Message: fmt.Sprintf(format, args...)})
}

// Err returns the faults found so far as Faults, or nil if there are none.
func (f *File) Err() error {
	if len(f.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(f.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return f.faults
}

// Malformed reports whether the text could not be parsed. The file's sections must not be used then.
func (f *File) Malformed() bool { return f.malformed }
