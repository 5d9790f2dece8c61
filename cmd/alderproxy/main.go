// Command alderproxy runs one instance of the broker, and has the commands by which operators inspect and change it.
package main

import (
	"os"
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }
