package inifile

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// read requests the values of all keys that the files of the tests may have.
func read(f *File) {
	if f.Malformed() {
		return
	}
	f.CheckKinds(map[string]bool{"a": false, "b": true})
	s := f.Section("a")
	s.Text("text", "")
	s.Duration("time", 0, time.Millisecond, time.Hour)
	s.Int("int", 0, 1, 9)
	s.Float("float", 0, 0, 1)
	s.Bool("bool", false)
	s.Addr("addr")
	if s.Has("list") {
		s.Range("list", 8)
	}
	s.CheckUnused()
}

// TestFaultsHaveTheirLocation checks that each fault names its line, section and key, and that the first one is the error.
func TestFaultsHaveTheirLocation(t *testing.T) {
	for text, want := range map[string]string{
		"[a]\nodd = 1":                  "f.ini:2: a.odd: unknown key",
		"\n[c]\n":                       "f.ini:2: c: unknown section",
		"[a]\ntext = 1\n\ntext = 2":     "f.ini:4: a.text: duplicate key: first in line 2",
		"[a]\n[b x]\n[a]":               "f.ini:3: a: duplicate section: first in line 1",
		"[b]":                           "f.ini:1: b: needs a name: expected [b NAME]",
		"[a x]":                         "f.ini:1: a x: must not have a name: expected [a]",
		"[a\n":                          "f.ini:1: invalid section header: expected [KIND] or [KIND NAME]",
		"[a] x":                         "f.ini:1: invalid section header: expected [KIND] or [KIND NAME]",
		"text = 1":                      "f.ini:1: text: is outside of any section",
		"[a]\njust words":               "f.ini:2: invalid line: expected a section header or key = value",
		"[a]\ntext = \"\"\"x":           "f.ini:2: a.text: values must not be quoted",
		"[a]\ntime = 5":                 `f.ini:2: a.time: invalid value "5": expected a duration such as 250ms or 2s`,
		"[a]\ntime = 2h":                "f.ini:2: a.time: is 2h0m0s, but must be between 1ms and 1h0m0s",
		"[a]\nint = ten":                `f.ini:2: a.int: invalid value "ten": expected a whole number`,
		"[a]\nint = 10":                 "f.ini:2: a.int: is 10, but must be between 1 and 9",
		"[a]\nfloat = nan":              `f.ini:2: a.float: invalid value "nan": expected a number`,
		"[a]\nfloat = -1":               "f.ini:2: a.float: is -1, but must be between 0 and 1",
		"[a]\nbool = true":              `f.ini:2: a.bool: invalid value "true": expected one of yes, no`,
		"[a]\naddr = :9200":             `f.ini:2: a.addr: invalid address ":9200": expected HOST:PORT, such as 127.0.0.1:9200`,
		"[a]\naddr = x:99999":           `f.ini:2: a.addr: invalid address "x:99999": expected HOST:PORT, such as 127.0.0.1:9200`,
		"[a]\nlist = 3-1":               `f.ini:2: a.list: invalid list "3-1": expected numbers and ranges, such as 0-3, 7`,
		"[a]\nlist = 0-8":               "f.ini:2: a.list: 8 is not below 8",
		"[a]\nlist = 1, 0-2":            "f.ini:2: a.list: 1 occurs twice",
		"[a]\nlist =":                   "f.ini:2: a.list: is missing",
		"[a]\ntext = \x01":              "f.ini:2: invalid line: contains a control character",
		"\xff":                          "f.ini: is not UTF-8",
		strings.Repeat("#", MaxSize+1):  "f.ini: is larger than 1048576 bytes",
		"[a]\nint = 0\n[zz]\nfloat = 2": "f.ini:2: a.int: is 0, but must be between 1 and 9",
	} {
		f := Read("f.ini", text)
		read(f)
		if assert.Error(t, f.Err(), "%.60q", text) {
			assert.Equal(t, want, f.Err().Error(), "%.60q", text)
		}
	}
}

// TestValues checks the values of each type, and that comments, line endings and a byte order mark are not part of them.
func TestValues(t *testing.T) {
	f := Read("f.ini", "\uFEFF# of the file\r\n[a] ; of the section\r\ntext = x%(int)s=\\ # not part of it\r\ntime=1m\nint = 7\nfloat = 5e-1\n"+
		"bool = yes\naddr = [::1]:80\nlist = 5, 0-2\n\n[b one]\nfree = a;b#c\n")
	require.NoError(t, f.Err())
	s := f.Section("a")
	assert.Equal(t, `x%(int)s=\`, s.Text("text", ""))
	assert.Equal(t, time.Minute, s.Duration("time", 0, 0, time.Hour))
	assert.Equal(t, 7, s.Int("int", 0, 0, 10))
	assert.InDelta(t, 0.5, s.Float("float", 0, 0, 10), 0)
	assert.True(t, s.Bool("bool", false))
	assert.Equal(t, "[::1]:80", s.Addr("addr"))
	assert.Equal(t, []int{5, 0, 1, 2}, s.Range("list", 8))
	assert.Equal(t, "a;b#c", f.SectionsOf("b")[0].Required("free"))
	assert.Equal(t, "one", f.SectionsOf("b")[0].Name)
	assert.False(t, f.Section("other").Present())
	assert.NoError(t, f.Err())
}

// FuzzRead checks that no input makes the parser panic, and that the text of a fault is a single line.
func FuzzRead(f *testing.F) {
	f.Add("[a]\ntext = x # y\n[b n]\nk = v\n")
	f.Add("[a]\n text : 1\n\\\n`x`=\"\"\"\n%(x)s")
	f.Fuzz(func(t *testing.T, text string) {
		file := Read("f", text)
		read(file)
		if err := file.Err(); err != nil {
			assert.NotContains(t, err.Error(), "\n")
		}
	})
}
