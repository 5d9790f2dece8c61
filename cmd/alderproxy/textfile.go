package main

import (
	"fmt"
	"io"
	"os"

	"alderproxy/inifile"
)

// readText reads a file, or standard input if the path is -. It reads at most one byte more than inifile.MaxSize, so that the
// parser still detects a file that is too large.
func readText(path string) (string, error) {
	f := os.Stdin
	if path != "-" {
		var err error
		if f, err = os.Open(path); err != nil {
			return "", err
		}
		defer func() { _ = f.Close() }() // the file was only read
	}
	text, err := io.ReadAll(io.LimitReader(f, inifile.MaxSize+1))
	if err != nil {
		return "", fmt.Errorf("%s: %w", path, err)
	}
	return string(text), nil
}
