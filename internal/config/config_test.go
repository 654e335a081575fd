package config

import (
	"errors"
	"strings"
	"testing"
)

type sample struct {
	Name  string  `toml:"name"`
	Rate  float64 `toml:"rate"`
	Inner struct {
		Depth int `toml:"depth"`
	} `toml:"inner"`
	Parts []struct {
		Kind string `toml:"kind"`
	} `toml:"part"`
}

func TestErrorsNameFileLineAndKey(t *testing.T) {
	for _, test := range []struct{ name, text, want string }{
		{"unknown key", "name = \"x\"\nrat = 3\n", "f.toml:2: rat: unknown key"},
		{"unknown key in a table", "[inner]\ndepht = 3\n", "f.toml:2: inner.depht: unknown key"},
		{"wrong type", "name = \"x\"\n\nrate = \"fast\"\n", "f.toml:3: "},
		{"not TOML", "name = \n", "f.toml:1: "},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse("f.toml", []byte(test.text), &sample{})
			if err == nil || !strings.HasPrefix(err.Error(), test.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%v, want one line that begins %q", err, test.want)
			}
			if !errors.As(err, new(*Error)) {
				t.Errorf("%T is no *Error", err)
			}
		})
	}
}

func TestErrorfNamesTheLine(t *testing.T) {
	text := "name = \"x\"\n\n[inner]\ndepth = 3\n\n[[part]]\nkind = \"a\"\n\n[[part]]\nkind = \"b\"\n"
	f, err := Parse("f.toml", []byte(text), &sample{})
	if err != nil {
		t.Fatal(err)
	}
	for key, want := range map[string]string{
		"inner.depth":  "f.toml:4: inner.depth: bad",
		"part[1].kind": "f.toml:10: part[1].kind: bad",
		"part[1].size": "f.toml:9: part[1].size: bad", // absent key: the line of its table
		"rate":         "f.toml: rate: bad",
	} {
		if got := f.Errorf(key, "bad").Error(); got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
}

func TestMissingFileIsNamed(t *testing.T) {
	if _, err := Load("no/such.toml", &sample{}); err == nil || !strings.Contains(err.Error(), "no/such.toml") {
		t.Errorf("%v does not name the file", err)
	}
}
