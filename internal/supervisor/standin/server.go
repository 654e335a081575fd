package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"milldeck/internal/supervisor"
	"milldeck/internal/supervisor/core"
)

// FaultsPath takes a fault with POST; DELETE ends all.
const FaultsPath = "/faults"

const (
	readHeaderTimeout  = 3 * time.Second
	bodyTimeout        = 5 * time.Second
	idleTimeout        = 60 * time.Second
	shutdownTimeout    = time.Second
	maxConcurrentCalls = 256 // at a time; with bodies of 8 MB each the most memory is bounded, if not small
	maxFaultBytes      = 4 << 10
)

// Serve runs a platform at a listener until ctx ends, and then ends all that it has started. Its files, logs and
// configurations, stand in dir.
func Serve(ctx context.Context, listener net.Listener, versions *Versions, dir string) error {
	if at, err := netip.ParseAddrPort(listener.Addr().String()); err != nil || !at.Addr().IsLoopback() {
		return fmt.Errorf("supervisor: %s is not on loopback", listener.Addr())
	}
	ctx, cancel := context.WithCancel(ctx)
	server := &server{platform: newPlatform(ctx, versions, dir), slots: make(chan struct{}, maxConcurrentCalls)}
	defer server.close()
	defer cancel()
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+supervisor.UnitsPath, server.handleDo)
	mux.HandleFunc("GET "+supervisor.UnitsPath, server.handleList)
	mux.HandleFunc("POST "+FaultsPath, server.handleSetFault)
	mux.HandleFunc("DELETE "+FaultsPath, server.handleClearFaults)
	mux.HandleFunc("GET /health/ready", func(http.ResponseWriter, *http.Request) {})
	httpServer := &http.Server{
		Handler: mux, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: 16 << 10,
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
	slog.Info("serves", "listen", listener.Addr().String(), "versions", len(versions.Versions))
	failed := make(chan error, 1)
	go func() { failed <- httpServer.Serve(listener) }()
	select {
	case err := <-failed:
		return fmt.Errorf("supervisor: %w", err)
	case <-ctx.Done():
	}
	shutdownCtx, cancelShutdown := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancelShutdown()
	if httpServer.Shutdown(shutdownCtx) != nil {
		httpServer.Close()
	}
	<-failed
	return nil
}

type server struct {
	*platform
	slots chan struct{}
}

// acquireSlot takes a place among the calls under way, or answers that there is none.
func (s *server) acquireSlot(w http.ResponseWriter) bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
		writeError(w, http.StatusServiceUnavailable, errors.New("too many calls are under way"))
		return false
	}
}

func (s *server) releaseSlot() { <-s.slots }

func (s *server) handleDo(w http.ResponseWriter, req *http.Request) {
	if !s.acquireSlot(w) {
		return
	}
	defer s.releaseSlot()
	var batch supervisor.Batch
	if status, err := readJSON(w, req, supervisor.MaxBatchBytes, &batch); err != nil {
		writeError(w, status, err)
		return
	}
	if err := supervisor.ValidateBatch(batch.Requests); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	s.respond(w, req, func(now int64) core.Response { return s.core.Do(now, batch.Requests) })
}

func (s *server) handleList(w http.ResponseWriter, req *http.Request) {
	if !s.acquireSlot(w) {
		return
	}
	defer s.releaseSlot()
	s.respond(w, req, s.core.List)
}

// respond makes a call of the core and answers as it says: at once, late, when it is told to go on, or not at all.
func (s *server) respond(w http.ResponseWriter, req *http.Request, call func(now int64) core.Response) {
	var response core.Response
	var held chan core.Response
	s.update(func(now int64) {
		if response = call(now); response.HeldTicket != 0 {
			held = make(chan core.Response, 1)
			s.heldCalls[response.HeldTicket] = held
		}
	})
	if held != nil {
		select {
		case response = <-held:
		case <-req.Context().Done():
			s.update(func(int64) { delete(s.heldCalls, response.HeldTicket) }) // it is carried out all the same
			panic(http.ErrAbortHandler)
		case <-s.ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
	if response.DelayMS > 0 {
		select {
		case <-time.After(time.Duration(response.DelayMS) * time.Millisecond):
		case <-req.Context().Done():
			panic(http.ErrAbortHandler)
		case <-s.ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
	switch {
	case response.Disconnect:
		panic(http.ErrAbortHandler) // closes the connection
	case response.Failure != "":
		writeError(w, http.StatusInternalServerError, errors.New(response.Failure))
	case response.List != nil:
		writeJSON(w, http.StatusOK, response.List)
	default:
		status := http.StatusOK
		for i := range response.Outcomes {
			if response.Outcomes[i].Rejected != "" {
				status = http.StatusConflict
			}
		}
		writeJSON(w, status, supervisor.BatchResponse{Outcomes: response.Outcomes})
	}
}

func (s *server) handleSetFault(w http.ResponseWriter, req *http.Request) {
	var fault core.Fault
	if status, err := readJSON(w, req, maxFaultBytes, &fault); err != nil {
		writeError(w, status, err)
		return
	}
	var err error
	s.update(func(now int64) { err = s.core.SetFault(now, fault) })
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	slog.Info("fault", "kind", fault.Kind, "on", fault.On, "unit", fault.Unit, "count", fault.Count, "for_ms", fault.DurationMS)
	writeJSON(w, http.StatusOK, struct{}{})
}

func (s *server) handleClearFaults(w http.ResponseWriter, _ *http.Request) {
	s.update(func(now int64) { s.core.ClearFaults(now) })
	writeJSON(w, http.StatusOK, struct{}{})
}

// readJSON reads a body of one JSON value. A key that is not known is refused, as the order would be carried out without
// what it says.
func readJSON(w http.ResponseWriter, req *http.Request, maxBytes int64, v any) (int, error) {
	conn := http.NewResponseController(w)
	if err := conn.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return http.StatusInternalServerError, err
	}
	decoder := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(v)
	if err == nil {
		if _, trailing := decoder.Token(); !errors.Is(trailing, io.EOF) {
			err = errors.New("more than one value")
		}
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		// An answer may take longer than the body: without a deadline the connection's end alone ends the call.
		return http.StatusInternalServerError, conn.SetReadDeadline(time.Time{})
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge, fmt.Errorf("body: more than %d bytes", maxBytes)
	}
	return http.StatusBadRequest, fmt.Errorf("body: %w", err)
}

func writeError(w http.ResponseWriter, status int, err error) {
	writeJSON(w, status, supervisor.BatchResponse{Error: oneLine(err.Error())})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		slog.Debug("answer not written", "error", err)
	}
}

// SetFault has the platform at an address fail.
func SetFault(ctx context.Context, addr string, fault core.Fault) error {
	body, err := json.Marshal(fault)
	if err != nil {
		return err
	}
	return callFaults(ctx, http.MethodPost, addr, body)
}

// ClearFaults ends all faults of the platform at an address.
func ClearFaults(ctx context.Context, addr string) error {
	return callFaults(ctx, http.MethodDelete, addr, nil)
}

func callFaults(ctx context.Context, method, addr string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+FaultsPath, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("supervisor: faults: %w", err)
	}
	req.Close = true // seldom asked for
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("supervisor: faults: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxFaultBytes)) // what came tells enough
		return fmt.Errorf("supervisor: faults: %s: %s", resp.Status, bytes.TrimSpace(text))
	}
	return nil
}
