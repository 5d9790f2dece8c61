package main

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"alderproxy/config"
	"alderproxy/document"
	"alderproxy/inifile"
)

func checkCommand() *cobra.Command {
	var isDocument bool
	c := &cobra.Command{
		Use:   "check FILE...",
		Short: "Report all faults in instances' files or shared documents",
		Args:  checkArgs(cobra.MinimumNArgs(1)),
		RunE: func(c *cobra.Command, files []string) error {
			out := &output{w: c.OutOrStdout()}
			count := 0
			for _, path := range files {
				faults := splitFaults(checkFile(path, isDocument))
				for _, fault := range faults {
					out.printf("%v\n", fault)
				}
				count += len(faults)
			}
			if out.err == nil && count > 0 {
				return fmt.Errorf("faults found: %d", count)
			}
			return out.err
		},
	}
	c.Flags().BoolVar(&isDocument, "shared", false, "the files are shared documents: they hold shared sections only")
	return c
}

// checkFile returns the faults of an instance's file or, with isDocument, of a shared document.
func checkFile(path string, isDocument bool) error {
	if !isDocument {
		_, err := config.Load(path)
		return err
	}
	text, err := readText(path)
	if err != nil {
		return err
	}
	_, err = document.Parse(path, text)
	return err
}

// splitFaults returns each fault that err holds as a separate error, or err alone if it holds none.
func splitFaults(err error) []error {
	var faults inifile.Faults
	switch {
	case errors.As(err, &faults):
		var all []error
		for _, fault := range faults {
			all = append(all, fault)
		}
		return all
	case err != nil:
		return []error{err}
	}
	return nil
}
