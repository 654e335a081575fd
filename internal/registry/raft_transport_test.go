package registry

import (
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// A response to a small request, such as a heartbeat, is accepted only within maxResponseAge of the request: during this
// time, no other leader can have been elected. The response to a batch of log entries may arrive later, because the other
// replica needs time to store the entries.
func TestStaleResponsesAreRejected(t *testing.T) {
	for name, tc := range map[string]struct {
		requestBytes int
		wait         time.Duration
		late         bool
	}{
		"at once":               {100, 0, false},
		"in time":               {100, maxResponseAge, false},
		"too late":              {100, maxResponseAge + time.Millisecond, true},
		"a batch that was late": {2 * maxHeartbeatBytes, time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clientConn, serverConn := net.Pipe()
				defer clientConn.Close()
				go func() {
					defer serverConn.Close()
					if _, err := serverConn.Read(make([]byte, tc.requestBytes)); err != nil {
						return
					}
					time.Sleep(tc.wait)
					if _, err := serverConn.Write([]byte("yes")); err != nil {
						t.Error(err)
					}
				}()
				conn := &responseAgeConn{Conn: clientConn, maxAge: maxResponseAge}
				if _, err := conn.Write(make([]byte, tc.requestBytes)); err != nil {
					t.Fatal(err)
				}
				if _, err := conn.Read(make([]byte, 10)); errors.Is(err, errStaleResponse) != tc.late {
					t.Errorf("read: %v", err)
				}
			})
		})
	}
}
