package supervisor

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"

	"milldeck/internal/validation"
)

// ValidateBatch returns an error if a batch or one of its requests is invalid. The text is part of the HTTP interface.
func ValidateBatch(requests []Request) error {
	if len(requests) == 0 || len(requests) > MaxRequests {
		return fmt.Errorf("%d requests in a call, 1 to %d can be", len(requests), MaxRequests)
	}
	ids := make(map[string]bool, len(requests))
	for i := range requests {
		if err := requests[i].Validate(); err != nil {
			return fmt.Errorf("request %d: %w", i, err)
		}
		if ids[requests[i].ID] {
			return fmt.Errorf("request %d: id %s stands twice in the call", i, requests[i].ID)
		}
		ids[requests[i].ID] = true
	}
	return nil
}

// ValidateVersion returns an error if the kind or the name of a version is not allowed in a request.
func ValidateVersion(k Kind, name string) error {
	if err := k.validate(); err != nil {
		return err
	}
	return validateName(name)
}

// Validate returns an error if a field is missing or invalid, or is set though the operation does not take it. The text is
// part of the HTTP interface.
func (r *Request) Validate() error {
	for _, validate := range []func() error{r.validateID, r.validateNames, r.validateOp, r.validateGrace, r.validateConfig} {
		if err := validate(); err != nil {
			return err
		}
	}
	return nil
}

func (r *Request) validateID() error {
	if r.ID == "" || len(r.ID) > maxIDBytes {
		return validation.Errorf("id", "%d bytes, 1 to %d can be", len(r.ID), maxIDBytes)
	}
	for part := range strings.SplitSeq(r.ID, "/") {
		if err := validateName(part); err != nil {
			return fmt.Errorf("id: %w", err)
		}
	}
	return nil
}

func (r *Request) validateNames() error {
	for _, name := range []struct {
		key, value string
		required   bool
	}{
		{"unit", r.Unit, true},
		{"version", r.Version, r.startsProcess()},
		{"config", r.ConfigName, r.Op == Reload},
		{"zone", r.Zone, false},
	} {
		if name.value == "" && !name.required {
			continue
		}
		if err := validateName(name.value); err != nil {
			return fmt.Errorf("%s: %w", name.key, err)
		}
	}
	return nil
}

func (r *Request) validateOp() error {
	switch r.Op {
	case Start, Restart:
		if err := r.Kind.validate(); err != nil {
			return err
		}
		addrPort, err := netip.ParseAddrPort(r.Listen)
		if err != nil || !addrPort.Addr().IsLoopback() || addrPort.Port() == 0 {
			return validation.Errorf("listen", "%q is no address and port on loopback", r.Listen)
		}
	case Stop, Reload:
		if r.Kind != "" || r.Version != "" || r.Listen != "" || r.Zone != "" {
			return validation.Errorf("op", "%s takes no kind, version, listen or zone", r.Op)
		}
	default:
		return validation.Errorf("op", "%q is none of start, stop, restart, reload", r.Op)
	}
	if r.Epoch == 0 {
		return validation.Errorf("memory", "is not named")
	}
	if r.Incarnation == 0 && r.Op != Start {
		return validation.Errorf("incarnation", "%s has to name one", r.Op)
	}
	return nil
}

func (r *Request) validateGrace() error {
	if r.GraceMS < 0 || r.GraceMS > MaxGraceMS {
		return validation.Errorf("grace_ms", "%d is not within 0 to %d", r.GraceMS, MaxGraceMS)
	}
	if r.GraceMS != 0 && r.Op != Stop && r.Op != Restart {
		return validation.Errorf("grace_ms", "%s takes none", r.Op)
	}
	return nil
}

func (r *Request) validateConfig() error {
	switch {
	case len(r.ConfigText) > MaxConfigBytes:
		return validation.Errorf("file", "%d bytes, at most %d are taken", len(r.ConfigText), MaxConfigBytes)
	case r.ConfigText == "" && r.Op == Reload:
		return validation.Errorf("file", "reload needs one")
	case r.Op == Stop && (r.ConfigText != "" || r.ConfigName != ""):
		return validation.Errorf("op", "stop takes no config or file")
	}
	return nil
}

func (k Kind) validate() error {
	if k != Server && k != Sidecar {
		return validation.Errorf("kind", "%q is neither server nor sidecar", string(k))
	}
	return nil
}

// validateName restricts a name to characters that are safe in a path, an argument and a log line.
func validateName(name string) error {
	if name == "" || len(name) > maxNameBytes || name[0] == '.' || name[0] == '-' {
		return fmt.Errorf("%.80q is no name of 1 to %d characters that begins with neither a dot nor a dash", name, maxNameBytes)
	}
	for _, c := range []byte(name) {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		case c == '.', c == '-', c == '_', c == '+', c == ':':
		default:
			return fmt.Errorf("%q: only letters, digits and . - _ + : stand in a name", name)
		}
	}
	return nil
}

// validate returns an error if the outcomes do not match the requests.
func (r *BatchResponse) validate(requests []Request) error {
	if len(r.Outcomes) != len(requests) {
		return fmt.Errorf("response: %d outcomes for %d requests", len(r.Outcomes), len(requests))
	}
	for i := range r.Outcomes {
		outcome, request := &r.Outcomes[i], &requests[i]
		if outcome.ID != request.ID || outcome.Unit != request.Unit || outcome.Epoch == 0 {
			return fmt.Errorf("response: outcome %d has no epoch, or another ID or unit than request %s", i, request.ID)
		}
		if outcome.Rejected == "" && (outcome.Epoch != request.Epoch || outcome.Incarnation == 0) {
			return fmt.Errorf("response: outcome %d has epoch %d and incarnation %d", i, outcome.Epoch, outcome.Incarnation)
		}
	}
	return nil
}

// validate returns an error if the list is invalid.
func (l *List) validate() error {
	if l.Epoch == 0 || l.Units == nil {
		return errors.New("list: epoch or units are missing")
	}
	for i := range l.Units {
		unit := &l.Units[i]
		if err := validateName(unit.Name); err != nil {
			return fmt.Errorf("list: unit %d: %w", i, err)
		}
		if i > 0 && l.Units[i-1].Name >= unit.Name {
			return fmt.Errorf("list: unit %s is out of order or listed twice", unit.Name)
		}
		switch unit.State {
		case Starting, Running, Stopping, Exited:
		default:
			return fmt.Errorf("list: unit %s has the unknown state %.40q", unit.Name, unit.State)
		}
		if err := unit.Kind.validate(); err != nil || unit.Incarnation == 0 {
			return fmt.Errorf("list: unit %s has kind %.40q and incarnation %d", unit.Name, unit.Kind, unit.Incarnation)
		}
	}
	return nil
}
