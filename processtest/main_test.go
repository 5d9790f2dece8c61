package processtest

import (
	"fmt"
	"os"
	"syscall"
	"testing"

	"alderproxy"
)

// TestMain lets the tests start the program itself: the test binary runs it when told to.
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
