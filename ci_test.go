package alderproxy

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestKnownRedListIsStrict checks that .ci/known-red prints the tests of a well-formed list, which CI skips, and fails on every
// malformed entry, which would otherwise skip nothing or the wrong tests.
func TestKnownRedListIsStrict(t *testing.T) {
	const (
		test = "TestKnownRedListIsStrict"
		rest = " | go test -run Known . seed 3 | takes too long | issue 29"
		good = test + rest + "\n"
	)
	for text, want := range map[string]string{
		"":                                      "",
		"# none\n\n":                            "",
		good:                                    test + "\n",
		good + "# more\n" + good:                test + "\n" + test + "\n",
		strings.Repeat(good, 4):                 strings.Repeat(test+"\n", 4),
		"TestNobodyHas" + rest:                  "fails",
		test + " | go test | seen":              "fails",
		test + " | go test | issue 29":          "fails",
		test + " | | takes too long | issue 29": "fails",
		test + " | go test | | issue 29":        "fails",
		test + " | go test | seen | issue":      "fails",
		test + " | go test | seen | more | issue 29": "fails",
		"KnownRedListIsStrict" + rest:                "fails",
		test + " go test, takes too long, issue 29":  "fails",
		"TestKnown.*" + rest:                         "fails",
		rest:                                         "fails",
		good + test + ": takes long (29)\n":          "fails",
	} {
		file := filepath.Join(t.TempDir(), "red")
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		out, err := exec.CommandContext(t.Context(), ".ci/known-red", file).Output()
		if want == "fails" {
			require.Error(t, err, text)
			continue
		}
		require.NoError(t, err, text)
		assert.Equal(t, want, string(out), text)
	}
	assert.NoError(t, exec.CommandContext(t.Context(), ".ci/known-red").Run(), "the list at the root")
	assert.NoError(t, exec.CommandContext(t.Context(), ".ci/known-red", filepath.Join(t.TempDir(), "absent")).Run())
}
