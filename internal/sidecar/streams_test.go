package sidecar

import (
	"bufio"
	"strings"
	"testing"
)

func TestReadObject(t *testing.T) {
	for text, want := range map[string]string{
		`{"a":"}\"{"}{"b":[{}]}` + "\n":          `{"a":"}\"{"} {"b":[{}]} EOF`,
		"\n \t\r\n{\n \"a\": 1\n}\n\n":           "{\n \"a\": 1\n} EOF",
		`{"a":"`:                                 "unexpected EOF",
		`{"a":"\`:                                "unexpected EOF",
		`null`:                                   `placement starts with 'n' in place of a brace`,
		"":                                       "EOF",
		strings.Repeat("{", maxPlacementBytes+1): errPlacementTooLarge.Error(),
	} {
		reader := bufio.NewReader(strings.NewReader(text))
		var got []string
		for {
			value, err := readObject(reader, func() {})
			if err != nil {
				got = append(got, err.Error())
				break
			}
			got = append(got, string(value))
		}
		if strings.Join(got, " ") != want {
			t.Errorf("%.20q: %q, want %q", text, got, want)
		}
	}
}
