package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// output writes the result of a command. It keeps the first write error and writes nothing after it.
type output struct {
	w   io.Writer
	err error
}

func (o *output) printf(format string, values ...any) {
	if o.err == nil {
		_, o.err = fmt.Fprintf(o.w, format, values...)
	}
}

// table writes a header and rows in aligned columns. Tabs separate the cells of each line.
func (o *output) table(header string, rows []string) {
	if o.err != nil {
		return
	}
	columns := tabwriter.NewWriter(o.w, 0, 8, 2, ' ', 0)
	for _, line := range append([]string{header}, rows...) {
		if _, o.err = fmt.Fprintln(columns, line); o.err != nil {
			return
		}
	}
	o.err = columns.Flush()
}

// writeJSON writes a value as indented JSON.
func writeJSON(to io.Writer, value any) error {
	encoder := json.NewEncoder(to)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
