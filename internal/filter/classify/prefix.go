package classify

import (
	"bytes"
	"encoding/json"

	"godwityoke.example/godwityoke/internal/request"
)

// longestEscape is the length of the longest escape sequence of JSON, a
// surrogate pair such as \ud83d\ude00.
const longestEscape = 12

// maxPrefixMessages is the number of messages whose contents are looked at.
const maxPrefixMessages = 32

// prefixText returns the first bytes of the prompt's text, at least most of
// them if there are as many. Prompt is raw: the inside of a string, or an array
// of messages, whose contents are joined by line feeds.
func prefixText(prompt []byte, kind request.Kind, most int) []byte {
	if kind == request.KindChat {
		return contentsPrefix(prompt, most)
	}
	return stringPrefix(prompt, most)
}

// stringPrefix decodes the beginning of the inside of a JSON string. Without
// escapes it is a part of raw.
func stringPrefix(raw []byte, most int) []byte {
	head := raw[:min(len(raw), most)]
	if bytes.IndexByte(head, '\\') < 0 {
		return head
	}
	// Escapes shorten the text, so that more than most bytes are decoded. No
	// escape ends beyond longestEscape bytes after the cut.
	head = raw[:min(len(raw), longestEscape*most)]
	for cut := len(head); cut >= 0 && cut > len(head)-longestEscape; cut-- {
		quoted := append(append([]byte{'"'}, head[:cut]...), '"')
		var text string
		if json.Unmarshal(quoted, &text) == nil {
			return []byte(text[:min(len(text), most)])
		}
	}
	return nil
}

// message is the part of a chat message that engines put into the prompt.
type message struct {
	Content once `json:"content"`
}

// contentsPrefix joins the contents of the first messages. Decoding into an
// array passes over all further messages and copies none.
func contentsPrefix(raw []byte, most int) []byte {
	var messages [maxPrefixMessages]message
	if err := json.Unmarshal(raw, &messages); err != nil {
		return nil // messages of another shape have no known prefix
	}
	var text []byte
	for i, one := range messages {
		inside := one.Content.raw
		if len(inside) < len(`""`) || inside[0] != '"' || len(text) >= most {
			break
		}
		if i > 0 {
			text = append(text, '\n')
		}
		text = append(text, stringPrefix(inside[1:len(inside)-1], most)...)
	}
	return text[:min(len(text), most)]
}
