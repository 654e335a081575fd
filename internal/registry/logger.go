package registry

import "log/slog"

// componentLogger is the logger of this package: the program's default with the component's name.
func componentLogger() *slog.Logger { return slog.With("component", "registry") }
