package inifile

import (
	"cmp"
	"fmt"
	"slices"
)

// Fault is one thing that is wrong with a file.
type Fault struct { //nolint:errname // a fault is a row of Faults, which is the error
	File     string
	Line     int    // from 1; 0: the file as a whole
	Location string // section.key, or the section; empty: neither
	Message  string
}

// Error returns the fault as FILE:LINE: section.key: message.
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

// Faults is all that is wrong with a file, by line. It is never empty.
type Faults []Fault //nolint:errname // the plural of Fault

// Error returns the first fault, in one line.
func (f Faults) Error() string { return f[0].Error() }

func (f *File) addFault(line int, location, format string, args ...any) {
	f.faults = append(f.faults, Fault{File: f.Name, Line: line, Location: location, Message: fmt.Sprintf(format, args...)})
}

// Err returns what is wrong with the file as Faults, or nil.
func (f *File) Err() error {
	if len(f.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(f.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return f.faults
}

// Malformed reports whether the text could not be parsed into sections: those that the file has mean nothing.
func (f *File) Malformed() bool { return f.malformed }
