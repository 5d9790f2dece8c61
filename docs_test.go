package alderproxy

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// variable stands for a value in a message: for a verb of a format, and for a placeholder such as N in a page.
const variable = "\x00"

var (
	formatVerb  = regexp.MustCompile(`%[-+# 0-9.]*[a-zA-Z]`)
	placeholder = regexp.MustCompile(`\b[A-Z]\b|\b(true|false)\b`)
	logFields   = regexp.MustCompile(` \w+=.*$`)
	quotedText  = regexp.MustCompile("`([^`]+)`")
)

// An operator searches the pages for the line that the log shows. A message that is reworded in the code alone, or in a page
// alone, is not found.
func TestLogLinesOfThePagesAreInTheCode(t *testing.T) {
	messages := sourceMessages(t)
	for _, page := range []string{"docs/on-call.md", "docs/operate/membership.md", "docs/operate/agreed-configuration.md"} {
		text, err := os.ReadFile(page)
		require.NoError(t, err)
		lines := documentedLogLines(string(text))
		require.NotEmpty(t, lines, page)
		for _, line := range lines {
			assert.True(t, isMessage(messages, line), "%s: the code has no message %q", page, line)
		}
	}
}

// The check on the pages must tell a message from one that differs in a word, is cut off, or is longer.
func TestIsMessage(t *testing.T) {
	messages := []string{"%s", "fleet changed", "the member %s stopped for %d ms", "datagrams from %s: dropped"}
	for line, want := range map[string]bool{
		"fleet changed":                      true,
		"fleet changed what=came|dead":       true,
		"fleet changes":                      false,
		"fleet":                              false,
		"the member N stopped for M ms":      true,
		"the member N paused for M ms":       false,
		"the member stopped for M ms":        false,
		"datagrams from A: ...":              true,
		"datagrams from A":                   false,
		"datagrams to A: ...":                false,
		"...":                                false,
		"anything that no message says, N N": false,
	} {
		assert.Equal(t, want, isMessage(messages, line), line)
	}
}

// sourceMessages returns the string literals of the source without tests.
func sourceMessages(t *testing.T) []string {
	t.Helper()
	var messages []string
	collect := func(node ast.Node) bool {
		if literal, isLiteral := node.(*ast.BasicLit); isLiteral && literal.Kind == token.STRING {
			if text, err := strconv.Unquote(literal.Value); err == nil {
				messages = append(messages, text)
			}
		}
		return true
	}
	require.NoError(t, filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (entry.Name() == "journal" || entry.Name() == ".git" || entry.Name() == "bin") {
			return fs.SkipDir
		}
		if entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, collect)
		return nil
	}))
	return messages
}

// documentedLogLines returns the quoted texts in the columns "line" and "log" of a page's tables.
func documentedLogLines(page string) []string {
	var lines []string
	logColumns := []int{}
	wasTable := false
	for row := range strings.Lines(page) {
		isTable := strings.HasPrefix(row, "|")
		cells := strings.Split(strings.ReplaceAll(row, `\|`, "/"), "|")
		if isTable && !wasTable {
			logColumns = logColumns[:0]
			for i, header := range cells {
				if slices.Contains([]string{"line", "log"}, strings.TrimSpace(header)) {
					logColumns = append(logColumns, i)
				}
			}
		} else if isTable {
			for _, column := range logColumns {
				for _, quoted := range quotedText.FindAllStringSubmatch(cells[column], -1) {
					lines = append(lines, quoted[1])
				}
			}
		}
		wasTable = isTable
	}
	return lines
}

// isMessage reports whether a page's line is one of the messages. A line that ends with "..." may be the start of one.
func isMessage(messages []string, line string) bool {
	start, isCut := strings.CutSuffix(line, "...")
	matches := func(want string) bool {
		want = placeholder.ReplaceAllString(want, variable)
		return slices.ContainsFunc(messages, func(message string) bool {
			message = formatVerb.ReplaceAllString(message, variable)
			return message == want || isCut && want != "" && strings.HasPrefix(message, strings.TrimRight(want, " "))
		})
	}
	return matches(start) || matches(logFields.ReplaceAllString(start, ""))
}
