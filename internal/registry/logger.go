package registry

import "log/slog"

// componentLogger returns the default logger with the component of this package.
func componentLogger() *slog.Logger { return slog.With("component", "registry") }
