package standin

import (
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

	"milldeck/internal/readiness"
	"milldeck/internal/sockets"
	"milldeck/internal/supervisor"
	"milldeck/internal/supervisor/core"
)

// FaultsPath is the HTTP path for faults. POST takes a core.Fault, DELETE ends all faults.
const FaultsPath = "/faults"

const (
	readHeaderTimeout  = 3 * time.Second
	bodyTimeout        = 5 * time.Second
	idleTimeout        = 60 * time.Second
	shutdownTimeout    = time.Second
	maxHeaderBytes     = 16 << 10
	maxConcurrentCalls = 256 // bounds the memory for bodies, which take up to 8 MB each
	maxFaultBytes      = 4 << 10
)

var errCallLimit = errors.New("too many calls are under way")

// Serve runs the lab's platform, which starts the programs in versions as processes, and serves its HTTP interface on a
// loopback listener until ctx ends. Then it stops all processes that the platform has started. The processes' logs and
// configuration files are in dir.
func Serve(ctx context.Context, listener net.Listener, versions *Versions, dir string) error {
	if addrPort, err := netip.ParseAddrPort(listener.Addr().String()); err != nil || !addrPort.Addr().IsLoopback() {
		return fmt.Errorf("supervisor: %s is not on loopback", listener.Addr())
	}
	ctx, cancel := context.WithCancel(ctx)
	s := &server{platform: newPlatform(ctx, versions, dir), slots: make(chan struct{}, maxConcurrentCalls)}
	defer s.close()
	defer cancel()
	httpServer := &http.Server{
		Handler:           s.handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
	readiness.LogListening(listener.Addr().String(), "versions", len(versions.Versions))
	failed := make(chan error, 1)
	go func() { failed <- httpServer.Serve(sockets.RetryAccept(listener)) }()
	select {
	case err := <-failed:
		return fmt.Errorf("supervisor: %w", err)
	case <-ctx.Done():
	}
	shutdownCtx, cancelShutdown := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancelShutdown()
	if httpServer.Shutdown(shutdownCtx) != nil {
		_ = httpServer.Close() // aborts the remaining calls
	}
	if err := <-failed; !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("supervisor: %w", err)
	}
	return nil
}

// server is the HTTP interface of a platform.
type server struct {
	*platform
	slots chan struct{} // contains an element for each call in progress
}

func (s *server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+supervisor.UnitsPath, s.limitConcurrency(s.handleDo))
	mux.HandleFunc("GET "+supervisor.UnitsPath, s.limitConcurrency(s.handleList))
	mux.HandleFunc("POST "+FaultsPath, s.handleSetFault)
	mux.HandleFunc("DELETE "+FaultsPath, s.handleClearFaults)
	mux.Handle("GET "+readiness.Path, readiness.Handler())
	return mux
}

// limitConcurrency returns a handler that responds with status 503 while maxConcurrentCalls calls are in progress.
func (s *server) limitConcurrency(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		select {
		case s.slots <- struct{}{}:
		default:
			writeError(w, http.StatusServiceUnavailable, errCallLimit)
			return
		}
		defer func() { <-s.slots }()
		handle(w, req)
	}
}

func (s *server) handleDo(w http.ResponseWriter, req *http.Request) {
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
	s.respond(w, req, s.core.List)
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
	slog.Info("fault injected", "kind", fault.Kind, "on", fault.On, "unit", fault.Unit,
		"count", fault.Count, "duration_ms", fault.DurationMS)
	writeJSON(w, http.StatusOK, struct{}{})
}

func (s *server) handleClearFaults(w http.ResponseWriter, _ *http.Request) {
	s.update(func(now int64) { s.core.ClearFaults(now) })
	writeJSON(w, http.StatusOK, struct{}{})
}

// respond calls the core and sends its response: at once, after a delay, or when the core releases a deferred call. It
// closes the connection instead if the response demands this, or if the call ends before its response is due.
func (s *server) respond(w http.ResponseWriter, req *http.Request, call func(now int64) core.Response) {
	response, ok := s.call(req.Context(), call)
	if !ok || response.Disconnect {
		panic(http.ErrAbortHandler) // closes the connection
	}
	switch {
	case response.Failure != "":
		writeError(w, http.StatusInternalServerError, errors.New(response.Failure))
	case response.List != nil:
		writeJSON(w, http.StatusOK, response.List)
	default:
		writeJSON(w, outcomesStatus(response.Outcomes), supervisor.BatchResponse{Outcomes: response.Outcomes})
	}
}

// outcomesStatus returns the status of a response: 409 if a request was rejected, otherwise 200.
func outcomesStatus(outcomes []supervisor.Outcome) int {
	for i := range outcomes {
		if outcomes[i].Rejected != "" {
			return http.StatusConflict
		}
	}
	return http.StatusOK
}

// call calls the core, and waits for a deferred or delayed response. ok is false if the client disconnects or the platform
// stops before the response is due.
func (s *server) call(ctx context.Context, call func(now int64) core.Response) (response core.Response, ok bool) {
	var deferred chan core.Response
	s.update(func(now int64) {
		if response = call(now); response.DeferredTicket != 0 {
			deferred = make(chan core.Response, 1)
			s.deferredCalls[response.DeferredTicket] = deferred
		}
	})
	if deferred != nil {
		select {
		case response = <-deferred:
		case <-ctx.Done():
			s.update(func(int64) { delete(s.deferredCalls, response.DeferredTicket) }) // the core still executes the call
			return response, false
		case <-s.ctx.Done():
			return response, false
		}
	}
	if response.DelayMS > 0 {
		select {
		case <-time.After(time.Duration(response.DelayMS) * time.Millisecond):
		case <-ctx.Done():
			return response, false
		case <-s.ctx.Done():
			return response, false
		}
	}
	return response, true
}

// readJSON decodes a body with one JSON value into v, or returns an error and its HTTP status. It rejects unknown keys,
// because the platform would otherwise execute the request without regard to them.
func readJSON(w http.ResponseWriter, req *http.Request, maxBytes int64, v any) (status int, err error) {
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return http.StatusInternalServerError, err
	}
	decoder := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxBytes))
	decoder.DisallowUnknownFields()
	err = decoder.Decode(v)
	if err == nil {
		if _, trailing := decoder.Token(); !errors.Is(trailing, io.EOF) {
			err = errors.New("more than one value")
		}
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		// The response may take longer than the body's timeout. Without a read deadline, only a disconnect ends the call.
		return http.StatusInternalServerError, controller.SetReadDeadline(time.Time{})
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
		slog.Debug("response write failed", "error", err)
	}
}
