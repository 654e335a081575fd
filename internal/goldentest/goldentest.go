// Package goldentest compares what a program stores or sends with golden files under a package's testdata, so that a
// change of the code cannot change a format unnoticed.
//
// A golden file holds what earlier versions wrote, so it is created once and never rewritten. Run the tests with
// -golden.create to write the golden files of new tests.
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

// Path returns the path of a golden file of the package under test.
func Path(name string) string { return filepath.Join("testdata", name) }

// Read returns the content of a golden file.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(Path(name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Compare fails the test unless got equals the content of the golden file. With -golden.create it first writes got to the file if
// the file does not exist.
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

// DecodeStrictly decodes a JSON value. It fails the test if the JSON has a field that the Go type lacks, which happens if a
// stored field has lost its tag.
func DecodeStrictly(t testing.TB, data []byte, value any) {
	t.Helper()
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		t.Fatalf("%s: %v", data, err)
	}
}
