package jsonc

import "bytes"

// maxNesting is the maximum depth of arrays and objects. The parser recurses into them, and a million levels overflow
// the stack.
const maxNesting = 100

// findNesting returns the offset of the first array or object in text that is nested deeper than limit, and whether
// there is one. It does not otherwise check the text.
func findNesting(text []byte, limit int) (offset int, found bool) {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '[', '{':
			if depth++; depth > limit {
				return i, true
			}
		case ']', '}':
			depth--
		case '"':
			i = skipString(text, i)
		case '/':
			i = skipComment(text, i)
		}
	}
	return 0, false
}

// skipString returns the offset of the last byte of the string that begins at start.
func skipString(text []byte, start int) int {
	for i := start + 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(text)
}

// skipComment returns the offset of the last byte of the comment that begins at start, or start if there is none.
func skipComment(text []byte, start int) int {
	rest := text[start:]
	switch {
	case bytes.HasPrefix(rest, []byte("//")):
		if end := bytes.IndexByte(rest, '\n'); end >= 0 {
			return start + end
		}
		return len(text)
	case bytes.HasPrefix(rest, []byte("/*")):
		if end := bytes.Index(rest[2:], []byte("*/")); end >= 0 {
			return start + 2 + end + 1
		}
		return len(text)
	}
	return start
}
