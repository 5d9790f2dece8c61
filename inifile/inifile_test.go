package inifile

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// read asks for what the tests' files may have.
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

func TestFaultsHaveTheirPlace(t *testing.T) {
	for text, want := range map[string]string{
		"[a]\nodd = 1":                  "f.ini:2: a.odd: unknown key",
		"\n[c]\n":                       "f.ini:2: c: unknown section",
		"[a]\ntext = 1\n\ntext = 2":     "f.ini:4: a.text: comes twice, first in line 2",
		"[a]\n[b x]\n[a]":               "f.ini:3: a: comes twice, first in line 1",
		"[b]":                           "f.ini:1: b: needs a name: [b NAME]",
		"[a x]":                         "f.ini:1: a x: has no name: [a]",
		"[a\n":                          "f.ini:1: a section is [kind] or [kind name]",
		"[a] x":                         "f.ini:1: a section is [kind] or [kind name]",
		"text = 1":                      "f.ini:1: text: stands in no section",
		"[a]\njust words":               "f.ini:2: neither a section nor key = value",
		"[a]\ntext = \"\"\"x":           "f.ini:2: a.text: values stand without quotes",
		"[a]\ntime = 5":                 `f.ini:2: a.time: "5" is no time such as 250ms or 2s`,
		"[a]\ntime = 2h":                "f.ini:2: a.time: 2h0m0s is not between 1ms and 1h0m0s",
		"[a]\nint = ten":                `f.ini:2: a.int: "ten" is no whole number`,
		"[a]\nint = 10":                 "f.ini:2: a.int: 10 is not between 1 and 9",
		"[a]\nfloat = nan":              `f.ini:2: a.float: "nan" is no number`,
		"[a]\nfloat = -1":               "f.ini:2: a.float: -1 is not between 0 and 1",
		"[a]\nbool = true":              `f.ini:2: a.bool: "true" is none of yes, no`,
		"[a]\naddr = :9200":             `f.ini:2: a.addr: ":9200" is no address such as 127.0.0.1:9200`,
		"[a]\naddr = x:99999":           `f.ini:2: a.addr: "x:99999" is no address such as 127.0.0.1:9200`,
		"[a]\nlist = 3-1":               `f.ini:2: a.list: "3-1" is no list such as 0-3, 7`,
		"[a]\nlist = 0-8":               "f.ini:2: a.list: 8 is not below 8",
		"[a]\nlist = 1, 0-2":            "f.ini:2: a.list: 1 comes twice",
		"[a]\nlist =":                   "f.ini:2: a.list: is missing",
		"[a]\ntext = \x01":              "f.ini:2: a control character",
		"\xff":                          "f.ini: is not UTF-8",
		strings.Repeat("#", MaxSize+1):  "f.ini: is over 1048576 bytes",
		"[a]\nint = 0\n[zz]\nfloat = 2": "f.ini:2: a.int: 0 is not between 1 and 9",
	} {
		f := Read("f.ini", text)
		read(f)
		if assert.Error(t, f.Err(), "%.60q", text) {
			assert.Equal(t, want, f.Err().Error(), "%.60q", text)
		}
	}
}

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

// What the scan lets through must be read by the library as it was scanned, whatever comes.
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
