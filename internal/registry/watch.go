package registry

import (
	"context"
	"net/http"
	"time"
)

const (
	heartbeatInterval = 2 * time.Second // of a watch without changes, as the platform's protocol specifies
	watchWriteTimeout = 10 * time.Second
)

// cursor is the position of a watcher.
type cursor struct {
	revision, epoch uint64
	started         bool // the watcher has been sent its first lines
}

// watchBatch is the next lines for a watcher.
type watchBatch struct {
	lines    [][]byte        // shared between watchers, must not be modified; empty: nothing has changed
	position cursor          // of the watcher after the lines
	changed  <-chan struct{} // closed at the next change
}

// changeSource is the source of the changes that watchers receive. Next returns the lines after a position: at least one
// if the cursor has not started, unless a restore is pending.
type changeSource interface {
	next(position cursor) (watchBatch, error)
}

// watchFunc is the type of Hub.Watch and PlacementFeed.Watch.
type watchFunc func(
	ctx context.Context, w http.ResponseWriter, request *http.Request, after, epoch uint64, mayHeartbeat func() bool,
) error

// streamChanges writes the changes of a source to a watcher. It returns nil when ctx or the request ends. While nothing
// changes, it writes a heartbeat (an empty line) every heartbeatInterval if mayHeartbeat returns true.
func streamChanges(
	ctx context.Context, w http.ResponseWriter, request *http.Request, position cursor, mayHeartbeat func() bool,
	source changeSource,
) error {
	w.Header().Set("Content-Type", "application/json")
	controller := http.NewResponseController(w)
	heartbeat := time.NewTimer(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		batch, err := source.next(position)
		if err != nil {
			return err
		}
		position = batch.position
		if len(batch.lines) > 0 {
			if err := writeLines(w, controller, batch.lines); err != nil {
				return err
			}
			heartbeat.Reset(heartbeatInterval)
		}
		select {
		case <-request.Context().Done():
			return nil
		case <-ctx.Done():
			return nil
		case <-batch.changed:
		case <-heartbeat.C:
			if mayHeartbeat() {
				if err := writeLines(w, controller, [][]byte{{'\n'}}); err != nil {
					return err
				}
			}
			heartbeat.Reset(heartbeatInterval)
		}
	}
}

// writeLines writes lines to a watcher. It fails if the watcher does not read them within watchWriteTimeout.
func writeLines(w http.ResponseWriter, controller *http.ResponseController, lines [][]byte) error {
	if err := controller.SetWriteDeadline(time.Now().Add(watchWriteTimeout)); err != nil {
		return err
	}
	for _, line := range lines {
		if _, err := w.Write(line); err != nil {
			return err
		}
	}
	return controller.Flush()
}
