package classify

import (
	"bytes"
	"encoding/json"

	"godwityoke.example/godwityoke/internal/request"
)

// maxEscapeBytes is the length of the longest escape sequence in a JSON string, a
// surrogate pair such as \ud83d\ude00.
const maxEscapeBytes = 12

// maxPrefixMessages is the maximum number of messages whose contents make up the prefix.
const maxPrefixMessages = 32

// prefixText returns up to maxBytes of the beginning of the decoded prompt text. The
// prompt is raw JSON: for chats an array of messages, whose contents are joined by
// line feeds; otherwise the inside of a string, without its quotes.
func prefixText(prompt []byte, kind request.Kind, maxBytes int) []byte {
	if kind == request.KindChat {
		return contentsPrefix(prompt, maxBytes)
	}
	return stringPrefix(prompt, maxBytes)
}

// stringPrefix decodes the beginning of the inside of a JSON string. Without escapes,
// the result is a slice of raw.
func stringPrefix(raw []byte, maxBytes int) []byte {
	head := raw[:min(len(raw), maxBytes)]
	if bytes.IndexByte(head, '\\') < 0 {
		return head
	}
	// An escape is longer than its text, so more than maxBytes bytes are decoded.
	// The cut may fall into an escape, which makes the string invalid; then shorter
	// cuts are tried, by up to the length of an escape.
	head = raw[:min(len(raw), maxEscapeBytes*maxBytes)]
	for cut := len(head); cut >= 0 && cut > len(head)-maxEscapeBytes; cut-- {
		quoted := append(append([]byte{'"'}, head[:cut]...), '"')
		var text string
		if json.Unmarshal(quoted, &text) == nil {
			return []byte(text[:min(len(text), maxBytes)])
		}
	}
	return nil
}

// chatMessage is the part of a chat message that becomes part of the prompt.
type chatMessage struct {
	Content uniqueKey `json:"content"`
}

// contentsPrefix joins the contents of the first messages. It decodes into an array,
// so that encoding/json skips all further messages without copying them. It stops at
// the first content that is not a string.
func contentsPrefix(raw []byte, maxBytes int) []byte {
	var messages [maxPrefixMessages]chatMessage
	if err := json.Unmarshal(raw, &messages); err != nil {
		return nil // messages of another structure have no known prefix
	}
	var text []byte
	for i, message := range messages {
		content := message.Content.raw
		if len(content) < len(`""`) || content[0] != '"' || len(text) >= maxBytes {
			break
		}
		if i > 0 {
			text = append(text, '\n')
		}
		text = append(text, stringPrefix(content[1:len(content)-1], maxBytes)...)
	}
	return text[:min(len(text), maxBytes)]
}
