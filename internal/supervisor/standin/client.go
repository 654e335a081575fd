package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"milldeck/internal/supervisor/core"
)

// SetFault injects a fault at the platform with an address.
func SetFault(ctx context.Context, addr string, fault core.Fault) error {
	body, err := json.Marshal(fault)
	if err != nil {
		return err
	}
	return callFaults(ctx, http.MethodPost, addr, body)
}

// ClearFaults ends all faults at the platform with an address.
func ClearFaults(ctx context.Context, addr string) error {
	return callFaults(ctx, http.MethodDelete, addr, nil)
}

func callFaults(ctx context.Context, method, addr string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+FaultsPath, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("supervisor: faults: %w", err)
	}
	req.Close = true // these calls are too rare to keep a connection open
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("supervisor: faults: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxFaultBytes)) // the error may quote a part of the body
		return fmt.Errorf("supervisor: faults: %s: %s", resp.Status, bytes.TrimSpace(text))
	}
	return nil
}
