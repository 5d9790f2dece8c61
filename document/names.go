package document

// Maximum lengths of names in bytes.
const (
	maxNameLength      = 64
	maxIndexNameLength = 255
)

// isName reports whether s is a valid name of a tenant or class.
func isName(s string) bool {
	isFirst := func(c byte) bool { return isLower(c) || isUpper(c) || isDigit(c) }
	isInner := func(c byte) bool { return isFirst(c) || c == '-' || c == '_' }
	return len(s) <= maxNameLength && consistsOf(s, isFirst, isInner)
}

// isIndexName reports whether s is a valid name of an index. Valid names need no escaping in the path of a URL.
func isIndexName(s string) bool {
	isFirst := func(c byte) bool { return isLower(c) || isDigit(c) }
	isInner := func(c byte) bool { return isFirst(c) || c == '-' || c == '_' || c == '.' }
	return len(s) <= maxIndexNameLength && consistsOf(s, isFirst, isInner)
}

// consistsOf reports whether s is not empty, its first byte satisfies isFirst and all other bytes satisfy isInner.
func consistsOf(s string, isFirst, isInner func(byte) bool) bool {
	if s == "" || !isFirst(s[0]) {
		return false
	}
	for i := 1; i < len(s); i++ {
		if !isInner(s[i]) {
			return false
		}
	}
	return true
}

func isLower(c byte) bool { return c >= 'a' && c <= 'z' }

func isUpper(c byte) bool { return c >= 'A' && c <= 'Z' }

func isDigit(c byte) bool { return c >= '0' && c <= '9' }
