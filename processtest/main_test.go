package processtest

import (
	"fmt"
	"os"
	"syscall"
	"testing"

	"alderproxy"
)

// TestMain runs the program instead of the tests if ALDERPROXY_TEST is "program", so that tests can start the test binary as
// the program. The program then kills itself at the step of a configuration change that ALDERPROXY_TEST_DIE_AT names, if any.
func TestMain(m *testing.M) {
	if os.Getenv("ALDERPROXY_TEST") != "program" {
		os.Exit(m.Run())
	}
	var onStep func(string)
	if step := os.Getenv("ALDERPROXY_TEST_DIE_AT"); step != "" {
		onStep = func(reached string) {
			if reached == step {
				_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
				select {}
			}
		}
	}
	if err := alderproxy.Serve(alderproxy.Options{OnChangeStep: onStep}); err != nil {
		fmt.Fprintln(os.Stderr, "alderproxy:", err)
		os.Exit(1)
	}
	os.Exit(0)
}
