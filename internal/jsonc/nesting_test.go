package jsonc

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestDeeplyNestedValueIsAFinding(t *testing.T) {
	for _, opening := range []string{"[", `{"a":`, "[ /* ] */ ", "[ // ]\n", `["]",`} {
		var target struct {
			A []string `json:"a"`
		}
		doc := Decode("f", []byte(`{"a":`+strings.Repeat(opening, 4<<20)), &target)
		require.Len(t, doc.Findings(), 1)
		require.Contains(t, doc.Findings()[0].Problem, "nested too deeply", opening)
	}
}

// FuzzDecode fails when a text ends the process.
func FuzzDecode(f *testing.F) {
	for _, text := range []string{
		`{"a":["x"],"b":{"a":1}}`, `{"a":[[[["x"]]]]}`, `{"a":"\\\"["}`, `{/*[[[*/"a":[]}`, `{"n":1e400,"u":-1,"i":9223372036854775808}`,
		`{"a":["\xff"],"a":[]}`, strings.Repeat("[", maxNesting+1), `{"n":NaN}`, "{", "/", `"`, "/*", "//", "",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var target struct {
			A []string `json:"a"`
			N float64  `json:"n"`
			U uint64   `json:"u"`
			I int      `json:"i"`
			B struct {
				A int `json:"a"`
			} `json:"b"`
		}
		for _, finding := range Decode("f", text, &target).Findings() {
			require.Positive(t, finding.Position.Line)
		}
	})
}
