// Command alderproxy is one instance of the broker, and the operators' tool for it; see the README.
package main

import (
	"os"
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }
