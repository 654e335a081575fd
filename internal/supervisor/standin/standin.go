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
	headWait  = 3 * time.Second
	bodyWait  = 5 * time.Second
	idleWait  = 60 * time.Second
	closeWait = time.Second
	mostCalls = 256 // at a time; with bodies of 8 MB each the most memory is bounded, if not small
	maxFault  = 4 << 10
)

// Serve runs a platform at a listener until ctx ends, and then ends all that it has started. Its files, logs and
// configurations, stand in dir.
func Serve(ctx context.Context, ln net.Listener, v *Versions, dir string) error {
	if at, err := netip.ParseAddrPort(ln.Addr().String()); err != nil || !at.Addr().IsLoopback() {
		return fmt.Errorf("supervisor: %s is not on loopback", ln.Addr())
	}
	ctx, cancel := context.WithCancel(ctx)
	s := &server{platform: newPlatform(ctx, v, dir), room: make(chan struct{}, mostCalls)}
	defer s.close()
	defer cancel()
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+supervisor.UnitsPath, s.serveDo)
	mux.HandleFunc("GET "+supervisor.UnitsPath, s.serveList)
	mux.HandleFunc("POST "+FaultsPath, s.serveFault)
	mux.HandleFunc("DELETE "+FaultsPath, s.serveClear)
	mux.HandleFunc("GET /health/ready", func(http.ResponseWriter, *http.Request) {})
	srv := &http.Server{
		Handler: mux, ReadHeaderTimeout: headWait, IdleTimeout: idleWait, MaxHeaderBytes: 16 << 10,
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
	slog.Info("serves", "listen", ln.Addr().String(), "versions", len(v.Versions))
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(ln) }()
	select {
	case err := <-failed:
		return fmt.Errorf("supervisor: %w", err)
	case <-ctx.Done():
	}
	down, enough := context.WithTimeout(context.Background(), closeWait)
	defer enough()
	if srv.Shutdown(down) != nil {
		srv.Close()
	}
	<-failed
	return nil
}

type server struct {
	*platform
	room chan struct{}
}

// enter takes a place among the calls under way, or answers that there is none.
func (s *server) enter(w http.ResponseWriter) bool {
	select {
	case s.room <- struct{}{}:
		return true
	default:
		refuse(w, http.StatusServiceUnavailable, errors.New("too many calls are under way"))
		return false
	}
}

func (s *server) leave() { <-s.room }

func (s *server) serveDo(w http.ResponseWriter, req *http.Request) {
	if !s.enter(w) {
		return
	}
	defer s.leave()
	var call supervisor.Call
	if status, err := read(w, req, supervisor.MaxCall, &call); err != nil {
		refuse(w, status, err)
		return
	}
	if err := supervisor.CheckCall(call.Requests); err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	s.answer(w, req, func(now int64) core.Answer { return s.core.Do(now, call.Requests) })
}

func (s *server) serveList(w http.ResponseWriter, req *http.Request) {
	if !s.enter(w) {
		return
	}
	defer s.leave()
	s.answer(w, req, s.core.List)
}

// answer makes a call of the core and answers as it says: at once, late, when it is told to go on, or not at all.
func (s *server) answer(w http.ResponseWriter, req *http.Request, call func(now int64) core.Answer) {
	var a core.Answer
	var wait chan core.Answer
	s.with(func(now int64) {
		if a = call(now); a.Held != 0 {
			wait = make(chan core.Answer, 1)
			s.waits[a.Held] = wait
		}
	})
	if wait != nil {
		select {
		case a = <-wait:
		case <-req.Context().Done():
			s.with(func(int64) { delete(s.waits, a.Held) }) // it is carried out all the same
			panic(http.ErrAbortHandler)
		case <-s.ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
	if a.DelayMS > 0 {
		select {
		case <-time.After(time.Duration(a.DelayMS) * time.Millisecond):
		case <-req.Context().Done():
			panic(http.ErrAbortHandler)
		case <-s.ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
	switch {
	case a.Cut:
		panic(http.ErrAbortHandler) // closes the connection
	case a.Failed != "":
		refuse(w, http.StatusInternalServerError, errors.New(a.Failed))
	case a.List != nil:
		write(w, http.StatusOK, a.List)
	default:
		status := http.StatusOK
		for i := range a.Outcomes {
			if a.Outcomes[i].Refused != "" {
				status = http.StatusConflict
			}
		}
		write(w, status, supervisor.Answer{Outcomes: a.Outcomes})
	}
}

func (s *server) serveFault(w http.ResponseWriter, req *http.Request) {
	var f core.Fault
	if status, err := read(w, req, maxFault, &f); err != nil {
		refuse(w, status, err)
		return
	}
	var err error
	s.with(func(now int64) { err = s.core.SetFault(now, f) })
	if err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	slog.Info("fault", "kind", f.Kind, "on", f.On, "unit", f.Unit, "count", f.Count, "for_ms", f.ForMS)
	write(w, http.StatusOK, struct{}{})
}

func (s *server) serveClear(w http.ResponseWriter, _ *http.Request) {
	s.with(func(now int64) { s.core.Clear(now) })
	write(w, http.StatusOK, struct{}{})
}

// read reads a body of one JSON value. A key that is not known is refused, as the order would be carried out without
// what it says.
func read(w http.ResponseWriter, req *http.Request, most int64, v any) (int, error) {
	conn := http.NewResponseController(w)
	if err := conn.SetReadDeadline(time.Now().Add(bodyWait)); err != nil {
		return http.StatusInternalServerError, err
	}
	d := json.NewDecoder(http.MaxBytesReader(w, req.Body, most))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	if err == nil {
		if _, more := d.Token(); !errors.Is(more, io.EOF) {
			err = errors.New("more than one value")
		}
	}
	var large *http.MaxBytesError
	switch {
	case err == nil:
		// An answer may take longer than the body: without a deadline the connection's end alone ends the call.
		return http.StatusInternalServerError, conn.SetReadDeadline(time.Time{})
	case errors.As(err, &large):
		return http.StatusRequestEntityTooLarge, fmt.Errorf("body: more than %d bytes", most)
	}
	return http.StatusBadRequest, fmt.Errorf("body: %w", err)
}

func refuse(w http.ResponseWriter, status int, err error) {
	write(w, status, supervisor.Answer{Error: oneLine(err.Error())})
}

func write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		slog.Debug("answer not written", "error", err)
	}
}

// SetFault has the platform at an address fail.
func SetFault(ctx context.Context, addr string, f core.Fault) error {
	body, err := json.Marshal(f)
	if err != nil {
		return err
	}
	return faults(ctx, http.MethodPost, addr, body)
}

// ClearFaults ends all faults of the platform at an address.
func ClearFaults(ctx context.Context, addr string) error {
	return faults(ctx, http.MethodDelete, addr, nil)
}

func faults(ctx context.Context, method, addr string, body []byte) error {
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
		said, _ := io.ReadAll(io.LimitReader(resp.Body, maxFault)) // what came tells enough
		return fmt.Errorf("supervisor: faults: %s: %s", resp.Status, bytes.TrimSpace(said))
	}
	return nil
}
