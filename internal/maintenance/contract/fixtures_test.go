package contract

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	"milldeck/internal/goldentest"
)

// TestStoredContractFormat guards against changes of the stored format. A contract file must give, byte for byte,
// the JSON that earlier versions have stored, and this JSON must give the same contract again.
func TestStoredContractFormat(t *testing.T) {
	fromFile, err := Load(goldentest.Path("contract.toml"))
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "contract.json", encodeContract(t, fromFile))
	stored := goldentest.Read(t, "contract.json")
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
		t.Errorf("the stored contract differs after decoding and encoding:\n%s", diff)
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
