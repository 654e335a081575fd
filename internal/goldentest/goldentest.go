// Package goldentest compares what a program stores or sends with golden files under a package's testdata, so that a
// change of the code cannot change a format unnoticed.
//
// A golden file stands for what earlier versions have written: it is created once and never rewritten. Run the tests
// with -golden.create to write the files of new tests.
package goldentest

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"io/fs"
	"os"
	"path/filepath"
	"testing"
)

var create = flag.Bool("golden.create", false, "write golden files that do not exist yet; existing files are never changed")

// Path is where a golden file of the package under test is stored.
func Path(name string) string { return filepath.Join("testdata", name) }

// Read returns the bytes of a golden file.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(Path(name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Compare fails the test unless got is exactly what the golden file holds.
func Compare(t testing.TB, name string, got []byte) {
	t.Helper()
	if _, err := os.Stat(Path(name)); *create && errors.Is(err, fs.ErrNotExist) {
		if err := os.WriteFile(Path(name), got, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if want := Read(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s: got\n%q\nwant\n%q", Path(name), got, want)
	}
}

// DecodeStrictly decodes a JSON value, and fails the test where it has a field that the Go value does not have: a
// stored field whose tag was lost.
func DecodeStrictly(t testing.TB, data []byte, value any) {
	t.Helper()
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		t.Fatalf("%s: %v", data, err)
	}
}
