// Package readiness is the contract by which one program learns that another has started: a check over HTTP, and for a
// program that takes a free port, the first line of its log. Programs, the lab and tests take the names from here. The
// package starts no process and does not judge what a program needs to be ready: each program does that itself.
package readiness

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"time"
)

const (
	// Path is the path at which a ready program answers GET with status 200.
	Path = "/health/ready"
	// ListeningMessage is the message that a program logs once it accepts connections.
	ListeningMessage = "serves"
	// listenKey is the attribute of the line with ListeningMessage that holds the address.
	listenKey = "listen"
	// checkTimeout bounds one check: a ready program on the same machine answers sooner.
	checkTimeout = time.Second
	// maxResponseBytes bounds what is read of the response to a check.
	maxResponseBytes = 1 << 10
)

// checkClient opens a new connection for each check, as a kept-alive connection would hide a restart.
var checkClient = &http.Client{Timeout: checkTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// LogListening logs that the program accepts connections at an address. The attributes follow the address.
func LogListening(address string, attributes ...any) {
	slog.Info(ListeningMessage, append([]any{listenKey, address}, attributes...)...)
}

// ListeningMarker returns the part of the line of LogListening by which a reader finds it.
func ListeningMarker() string { return slog.MessageKey + "=" + ListeningMessage + " " }

// ListenAddress returns the address in a line of LogListening, or false if the line has none.
func ListenAddress(line string) (string, bool) {
	_, value, found := strings.Cut(line, " "+listenKey+"=")
	address, _, _ := strings.Cut(value, " ")
	return address, found && address != ""
}

// Handler answers the readiness check of a program that is ready once it accepts connections: status 200 without a body.
func Handler() http.Handler {
	return http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
}

// Check performs one check of the program at an address and reports whether the program is ready.
func Check(ctx context.Context, address, path string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return false
	}
	response, err := checkClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxResponseBytes))
	return err == nil && response.StatusCode == http.StatusOK
}
