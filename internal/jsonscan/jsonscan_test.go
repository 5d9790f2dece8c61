package jsonscan

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestValid(t *testing.T) {
	for _, c := range []struct {
		text string
		ok   bool
	}{
		{`{}`, true},
		{` [ 1 , "a" ] `, true},
		{`-0.5e+3`, true},
		{`"\u00e9\n\/"`, true},
		{`null`, true},
		{`{"a":{"b":[]}}`, true},
		{``, false},
		{`{`, false},
		{`{"a"}`, false},
		{`{"a":1,}`, false},
		{`[1 2]`, false},
		{`01`, false},
		{`1.`, false},
		{`1e`, false},
		{`-`, false},
		{`"a`, false},
		{`"\x"`, false},
		{`"\u12"`, false},
		{"\"\n\"", false},
		{`tru`, false},
		{`{} {}`, false},
		{`{a:1}`, false},
		{strings.Repeat("[", 100) + strings.Repeat("]", 100), false},
	} {
		assert.Equal(t, c.ok, Valid([]byte(c.text)) == nil, c.text)
	}
}

// Values that are only forwarded must keep their bytes, including white space and escapes within them.
func TestObjectPassesTheOriginalBytes(t *testing.T) {
	got := map[string]string{}
	err := Object([]byte(` {"a" : [1, 2] ,"b\u00e9":"x\"y","c":{"d" :null}}`), func(key string, raw []byte) error {
		got[key] = string(raw)
		return nil
	})
	require.NoError(t, err)
	assert.Equal(t, map[string]string{"a": "[1, 2]", "bé": `"x\"y"`, "c": `{"d" :null}`}, got)
}

func TestScalars(t *testing.T) {
	for raw, want := range map[string]string{`"a"`: "a", `"\u00e9\""`: `é"`, `""`: ""} {
		s, err := String([]byte(raw))
		require.NoError(t, err, raw)
		assert.Equal(t, want, s)
		back, err := String(AppendString(nil, []byte(want)))
		require.NoError(t, err, raw)
		assert.Equal(t, want, back)
	}
	for _, raw := range []string{"1", "null", "[]"} {
		_, err := String([]byte(raw))
		require.ErrorIs(t, err, ErrSyntax, raw)
	}
	for raw, ok := range map[string]bool{"3": true, "-3": true, "3e2": true, "3.5": false, `"3"`: false, "Inf": false, "1e300": false} {
		_, err := Int([]byte(raw))
		assert.Equal(t, ok, err == nil, raw)
	}
}

// FuzzValid checks that Valid accepts nothing that encoding/json rejects.
func FuzzValid(f *testing.F) {
	f.Add([]byte(`{"a":[1,-2.5e3,"\u00e9",true,null]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		if Valid(b) == nil && !json.Valid(b) {
			t.Errorf("%q is invalid JSON but was accepted", b)
		}
	})
}

// Guards against strings that are decoded as other texts than were sent, with U+FFFD in place of what stands for no text.
func TestStringsThatStandForNoTextAreErrors(t *testing.T) {
	for raw, want := range map[string]string{
		`"ß東\u00df\uFFFD"`:   "ß東ß\uFFFD",
		"\"\uFFFD\"":         "\uFFFD",
		`"\ud83d\uDE00!"`:    "\U0001F600!",
		`"\\ud83d"`:          `\ud83d`,
		`"\"\ud83d\ude00\\"`: "\"\U0001F600\\",
	} {
		got, err := String([]byte(raw))
		require.NoError(t, err, raw)
		assert.Equal(t, want, got, raw)
		require.NoError(t, CheckText([]byte(raw)), raw)
	}
	for _, raw := range []string{
		"\"\xff\"", "\"a\xe2\x28\"", "\"\xe2\x82\"", "\"\\n\xff\"", "\"\xed\xa0\xbd\"", // the last is a surrogate in three bytes
		`"\ud83d"`, `"\ude00"`, `"\ud83dx"`, `"\ud83d\n"`, `"\ud83d\ud83d\ude00"`, `"\ude00\ud83d"`, `"\ud83d\u00e9"`,
	} {
		_, err := String([]byte(raw))
		require.ErrorIs(t, err, ErrSyntax, "%q", raw)
		require.ErrorIs(t, CheckText([]byte(raw)), ErrSyntax, "%q", raw)
		visit := func(string, []byte) error { return nil }
		require.ErrorIs(t, Object([]byte("{"+raw+":1}"), visit), ErrSyntax, "key %q", raw)
		require.NoError(t, Object([]byte(`{"a":{`+raw+`:[`+raw+`]}}`), visit), "skipped %q", raw)
	}
}
