package contract

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// updateGolden rewrites the golden file. It holds a contract as earlier versions have stored it.
var updateGolden = flag.Bool("update", false, "write the golden files under testdata")

// TestStoredContractFormat has a contract's file give the JSON that earlier versions have stored, byte for byte, and that
// JSON give the same contract again.
func TestStoredContractFormat(t *testing.T) {
	source := filepath.Join("testdata", "contract.toml")
	fromFile, err := Load(source)
	if err != nil {
		t.Fatal(err)
	}
	encoded := encodeContract(t, fromFile)
	golden := filepath.Join("testdata", "contract.json")
	if *updateGolden {
		if err := os.WriteFile(golden, encoded, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	stored, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(stored), string(encoded)); diff != "" {
		t.Errorf("written otherwise than stored:\n%s", diff)
	}
	var fromJSON Contract
	decoder := json.NewDecoder(bytes.NewReader(stored))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&fromJSON); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(*fromFile, fromJSON); diff != "" {
		t.Errorf("the file and the stored contract differ:\n%s", diff)
	}
	if diff := cmp.Diff(string(stored), string(encodeContract(t, &fromJSON))); diff != "" {
		t.Errorf("not written as it was read:\n%s", diff)
	}
}

func encodeContract(t *testing.T, c *Contract) []byte {
	t.Helper()
	data, err := json.MarshalIndent(c, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	return append(data, '\n')
}
