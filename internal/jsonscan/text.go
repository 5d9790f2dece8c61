package jsonscan

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"unicode/utf16"
	"unicode/utf8"
)

// unicodeEscapeSize is the length in bytes of an escape such as \u00e9.
const unicodeEscapeSize = 6

// CheckEncoding returns nil if b is UTF-8, as JSON text must be, else an error that wraps ErrSyntax. Functions that skip a string
// accept any bytes in it, so that one bad string does not make the rest of a text useless.
func CheckEncoding(b []byte) error {
	if !utf8.Valid(b) {
		return fmt.Errorf("%w: not UTF-8", ErrSyntax)
	}
	return nil
}

// CheckText returns nil if every string in b stands for a text: b is UTF-8, and each escape of a surrogate is one of a pair. Else
// it returns an error that wraps ErrSyntax. encoding/json would replace the rest by U+FFFD.
func CheckText(b []byte) error {
	if err := CheckEncoding(b); err != nil {
		return err
	}
	for i := bytes.IndexByte(b, '\\'); i >= 0 && i+1 < len(b); {
		size, err := escapeSize(b[i:])
		if err != nil {
			return err
		}
		next := bytes.IndexByte(b[i+size:], '\\')
		if next < 0 {
			return nil
		}
		i += size + next
	}
	return nil
}

// escapeSize returns the length of the escape, or of the pair of escapes, at the beginning of b. An unpaired surrogate is an
// error.
func escapeSize(b []byte) (int, error) {
	first, ok := unicodeEscape(b)
	switch {
	case !ok:
		return min(2, len(b)), nil
	case !utf16.IsSurrogate(first):
		return unicodeEscapeSize, nil
	}
	second, _ := unicodeEscape(b[unicodeEscapeSize:])
	if utf16.DecodeRune(first, second) == utf8.RuneError {
		return 0, fmt.Errorf("%w: unpaired surrogate", ErrSyntax)
	}
	return 2 * unicodeEscapeSize, nil
}

// unicodeEscape returns the code unit of the escape of the form \uXXXX at the beginning of b, if there is one.
func unicodeEscape(b []byte) (unit rune, ok bool) {
	if len(b) < unicodeEscapeSize || b[0] != '\\' || b[1] != 'u' {
		return 0, false
	}
	parsed, err := strconv.ParseUint(string(b[2:unicodeEscapeSize]), 16, 16)
	return rune(parsed), err == nil
}

// String decodes a string. A string that stands for no text (see CheckText) is an error.
func String(raw []byte) (string, error) {
	if len(raw) < 2 || raw[0] != '"' {
		return "", syntaxError(0, "no string")
	}
	text := raw[1 : len(raw)-1]
	if bytes.IndexByte(text, '\\') < 0 {
		return string(text), CheckEncoding(text)
	}
	if err := CheckText(text); err != nil {
		return "", err
	}
	var decoded string
	if err := json.Unmarshal(raw, &decoded); err != nil {
		return "", fmt.Errorf("%w: %w", ErrSyntax, err)
	}
	return decoded, nil
}

// AppendString appends text to dst as a JSON string. The text must be UTF-8: JSON cannot represent other bytes, and each of them
// would be replaced by U+FFFD.
func AppendString(dst []byte, text []byte) []byte {
	for _, c := range text {
		if c < 0x20 || c >= 0x80 || c == '"' || c == '\\' {
			quoted, err := json.Marshal(string(text))
			if err != nil { // a string can always be encoded
				quoted = []byte(`""`)
			}
			return append(dst, quoted...)
		}
	}
	dst = append(dst, '"')
	dst = append(dst, text...)
	return append(dst, '"')
}
