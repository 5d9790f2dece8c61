package main

import (
	"fmt"
	"io"
	"os"

	"alderproxy/inifile"
)

// readText reads a file of at most the size that a document may have; - is standard input.
func readText(path string) (string, error) {
	f := os.Stdin
	if path != "-" {
		var err error
		if f, err = os.Open(path); err != nil {
			return "", err
		}
		defer f.Close()
	}
	text, err := io.ReadAll(io.LimitReader(f, inifile.MaxSize+1))
	if err != nil {
		return "", fmt.Errorf("%s: %w", path, err)
	}
	return string(text), nil
}
