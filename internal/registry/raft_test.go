package registry

import (
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// An answer counts for as long as nobody else can have been elected since its question; what takes a disk its time may
// come later.
func TestLateAnswersDoNotCount(t *testing.T) {
	for name, c := range map[string]struct {
		ask  int
		wait time.Duration
		late bool
	}{
		"at once":               {100, 0, false},
		"in time":               {100, answerWithin, false},
		"too late":              {100, answerWithin + time.Millisecond, true},
		"a batch that was late": {2 * smallAsk, time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				defer near.Close()
				go func() {
					defer far.Close()
					if _, err := far.Read(make([]byte, c.ask)); err != nil {
						return
					}
					time.Sleep(c.wait)
					far.Write([]byte("yes"))
				}()
				p := &prompt{Conn: near, within: answerWithin}
				if _, err := p.Write(make([]byte, c.ask)); err != nil {
					t.Fatal(err)
				}
				if _, err := p.Read(make([]byte, 10)); errors.Is(err, errLateAnswer) != c.late {
					t.Errorf("read: %v", err)
				}
			})
		})
	}
}
