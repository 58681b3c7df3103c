package classify

import (
	"encoding/json"
	"strconv"
	"strings"
	"testing"
	"unsafe"

	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/request"
)

// TestScanFindsFieldsInPlace checks that keys of nested objects are ignored and that
// the prompt stays encoded and is not copied.
func TestScanFindsFieldsInPlace(t *testing.T) {
	data := []byte(`{"x":{"prompt":"inner"},"stream":true,"prompt":"say \"hi\"\n","max_tokens":7,"model":"a:b"}`)
	got, err := scan(data, request.KindCompletion)
	require.NoError(t, err)
	require.Equal(t, "a:b", got.model)
	require.True(t, got.stream)
	require.EqualValues(t, 7, got.maxTokens)
	require.Equal(t, `say \"hi\"\n`, string(got.prompt))
	offset := uintptr(unsafe.Pointer(&got.prompt[0])) - uintptr(unsafe.Pointer(&data[0]))
	require.Less(t, int(offset), len(data), "the prompt must be a slice of the body, not a copy")
}

func TestScanChat(t *testing.T) {
	got, err := scan([]byte(`{"model":"a","messages":[{"role":"user","content":"hi"}],"max_completion_tokens":3}`), request.KindChat)
	require.NoError(t, err)
	require.Equal(t, `[{"role":"user","content":"hi"}]`, string(got.prompt))
	require.EqualValues(t, 3, got.maxTokens)
	_, err = scan([]byte(`{"model":"a","messages":[{"role":`), request.KindChat)
	require.Error(t, err)
}

func FuzzScan(f *testing.F) {
	f.Add([]byte(`{"model":"a","prompt":"b"}`))
	f.Add([]byte(`{"model":null,"prompt":"\u0000","n":1e9,"stream":[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := scan(data, request.KindCompletion)
		if err == nil && (got.model == "" && !strings.Contains(string(data), `"model":""`) && len(got.prompt) == 0) {
			t.Fatal("scan accepted a body without model and prompt")
		}
	})
}

// BenchmarkScan scans prompts of a thousand and of a million tokens of 4 bytes.
func BenchmarkScan(b *testing.B) {
	for name, tokens := range map[string]int{"1k": 1000, "1M": 1_000_000} {
		b.Run(name, func(b *testing.B) {
			data := []byte(`{"model":"scribe","stream":true,"prompt":"` + strings.Repeat("word", tokens) + `"}`)
			b.SetBytes(int64(len(data)))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := scan(data, request.KindCompletion); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func TestPathPatterns(t *testing.T) {
	require.True(t, matchesPath("/voyages", "/voyages"))
	require.False(t, matchesPath("/voyages", "/voyages/7"))
	require.True(t, matchesPath("/voyages/*", "/voyages/7/seats"))
	require.False(t, matchesPath("/voyages/*", "/voyages/"))
	require.False(t, matchesPath("/voyages/*", "/voyages/../admin"))
}

// TestPrefixEqualsDecodedPrompt compares prefixText with the beginning of the decoded
// prompt, for texts whose escapes are cut at the end of the prefix.
func TestPrefixEqualsDecodedPrompt(t *testing.T) {
	const maxBytes = 64
	for name, text := range map[string]string{
		"plain": strings.Repeat("a calm sea. ", 20), "short": "hi", "line feeds": strings.Repeat("a\n", 200),
		"quotes": strings.Repeat(`"`, 200), "emoji": strings.Repeat("😀\t", 100), "mixed": "é\\n" + strings.Repeat("x\u0001", 90),
	} {
		t.Run(name, func(t *testing.T) {
			quoted, err := json.Marshal(text)
			require.NoError(t, err)
			expected := text[:min(len(text), maxBytes)]
			require.Equal(t, expected, string(prefixText(quoted[1:len(quoted)-1], request.KindCompletion, maxBytes)))
			ascii := strconv.QuoteToASCII(text)
			if name == "emoji" {
				ascii = strings.ReplaceAll(ascii, `\U0001f600`, `\ud83d\ude00`)
				require.Equal(t, expected, string(prefixText([]byte(ascii[1:len(ascii)-1]), request.KindCompletion, maxBytes)))
			}
			messages, err := json.Marshal([]map[string]string{{"role": "user", "content": "one"}, {"content": text}, {"content": "three"}})
			require.NoError(t, err)
			joined := "one\n" + text + "\nthree"
			require.Equal(t, joined[:min(len(joined), maxBytes)], string(prefixText(messages, request.KindChat, maxBytes)))
		})
	}
}
