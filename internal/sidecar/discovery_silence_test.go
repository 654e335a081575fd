package sidecar

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"milldeck/balance"
)

// notificationDeadline is the time after which the platform's protocol counts a missed change as known.
const notificationDeadline = 6 * time.Second

const (
	streamHeader = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	firstList    = `{"rev":1,"all":true,"targets":[]}` + "\n"
)

// scriptedDiscovery is a discovery service that follows a script for each call. The discovery client is connected through
// pipes in place of sockets.
type scriptedDiscovery struct {
	script  []callScript
	calls   []time.Time // start of each call
	workers sync.WaitGroup
}

// dial makes the next call of the script. After the end of the script, it repeats the last call.
func (d *scriptedDiscovery) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	step := d.script[min(len(d.calls), len(d.script)-1)]
	d.calls = append(d.calls, time.Now())
	if step.dial != nil {
		return nil, step.dial(ctx)
	}
	local, remote := net.Pipe()
	d.workers.Go(func() {
		defer remote.Close()
		if _, err := http.ReadRequest(bufio.NewReader(remote)); err == nil {
			step.handle(remote)
			discard(remote) // sends nothing more until the sidecar closes the connection
		}
	})
	if step.resets {
		return resetConnReader{local}, nil
	}
	return local, nil
}

// addCalls adds calls with an established connection and a handler each.
func (d *scriptedDiscovery) addCalls(handlers ...func(remote net.Conn)) {
	for _, handle := range handlers {
		d.script = append(d.script, callScript{handle: handle})
	}
}

// silenceScripts serve a watch that stops sending lists and heartbeats, each script at a different point, and call
// silenceBegins at that point.
var silenceScripts = map[string]func(conn net.Conn, silenceBegins func()){
	"before the first byte": func(conn net.Conn, silenceBegins func()) { silenceBegins() },
	"in the header":         func(conn net.Conn, silenceBegins func()) { silenceBegins(); tryWrite(conn, streamHeader[:20]) },
	"after the header":      func(conn net.Conn, silenceBegins func()) { silenceBegins(); tryWrite(conn, streamHeader) },
	"after the first list": func(conn net.Conn, silenceBegins func()) {
		tryWrite(conn, streamHeader+firstList)
		silenceBegins()
	},
	"after an empty line": func(conn net.Conn, silenceBegins func()) {
		tryWrite(conn, streamHeader+firstList)
		for range 3 {
			time.Sleep(2 * time.Second)
			tryWrite(conn, "\n")
		}
		silenceBegins()
	},
	"in the middle of a line": func(conn net.Conn, silenceBegins func()) {
		tryWrite(conn, streamHeader+firstList)
		silenceBegins()
		tryWrite(conn, `{"rev":2,"all":fal`)
	},
	"by trickling bytes": func(conn net.Conn, silenceBegins func()) {
		tryWrite(conn, streamHeader+firstList)
		silenceBegins()
		for _, char := range []byte(`{"rev":2,"all":false,"targets":[{"uid":"a"}]`) {
			if _, err := conn.Write([]byte{char}); err != nil {
				return
			}
			time.Sleep(500 * time.Millisecond)
		}
	},
	"by empty lines inside a list": func(conn net.Conn, silenceBegins func()) {
		tryWrite(conn, streamHeader+firstList)
		silenceBegins()
		for _, err := io.WriteString(conn, "{\n"); err == nil; _, err = io.WriteString(conn, "\n  \n") {
			time.Sleep(time.Second)
		}
	},
}

// measureRecovery runs a script, then calls that are not answered at all, and then a call that is answered immediately. It
// returns the time from the start of the first silence to the next list.
func measureRecovery(t *testing.T, script func(net.Conn, func()), silentCalls int, startWatch func(*discoveryClient, context.Context)) time.Duration {
	var silentFrom, receivedAt time.Time
	synctest.Test(t, func(t *testing.T) {
		scripted := &scriptedDiscovery{}
		var once sync.Once
		silenceBegins := func() { once.Do(func() { silentFrom = time.Now() }) }
		scripted.addCalls(func(conn net.Conn) { script(conn, silenceBegins) })
		for range silentCalls - 1 {
			scripted.addCalls(func(net.Conn) {})
		}
		scripted.addCalls(func(conn net.Conn) {
			tryWrite(conn, streamHeader+strings.Replace(firstList, "1", "9", 1))
		})
		ctx, cancel := context.WithCancel(t.Context())
		received := make(chan struct{})
		var work sync.WaitGroup
		client := newDiscoveryClient("127.0.0.1:1", &balance.Config{SidecarCount: 80}, func(event loopEvent) {
			if update := event.(endpointUpdate); update.kind != balance.UpdateFailed && update.endpoints.Revision == 9 && receivedAt.IsZero() {
				receivedAt = time.Now()
				close(received)
			}
		}, func(task func()) { work.Go(task) })
		client.client.Transport.(*http.Transport).DialContext = scripted.dial
		startWatch(client, ctx)
		select {
		case <-received:
		case <-time.After(time.Minute):
			t.Error("no list within a minute")
		}
		cancel()
		work.Wait()
		scripted.workers.Wait()
	})
	return receivedAt.Sub(silentFrom)
}

// A watch stops sending data at any point, and the next calls are not answered either. The list is still received before
// the platform's protocol counts it as known.
func TestSilenceEndsBeforeNotificationDeadline(t *testing.T) {
	worst := map[string]time.Duration{}
	for name, script := range silenceScripts {
		for silentCalls := 1; silentCalls <= 3; silentCalls++ {
			elapsed := measureRecovery(t, script, silentCalls, (*discoveryClient).maintainWatch)
			if elapsed >= notificationDeadline {
				t.Errorf("pushed, silent %s, %d times in a row: %v", name, silentCalls, elapsed)
			}
			key := fmt.Sprintf("pushed, %d in a row", silentCalls)
			worst[key] = max(worst[key], elapsed)
		}
		for silentCalls := 1; silentCalls <= 2; silentCalls++ { // polled calls may wait in a queue and have a longer timeout
			elapsed := measureRecovery(t, script, silentCalls, (*discoveryClient).watch)
			if elapsed >= notificationDeadline {
				t.Errorf("polled, silent %s, %d times in a row: %v", name, silentCalls, elapsed)
			}
			key := fmt.Sprintf("polled, %d in a row", silentCalls)
			worst[key] = max(worst[key], elapsed)
		}
	}
	t.Log("worst:", worst)
}

// After an address change the new service does not answer at first. The platform's protocol counts its
// list as known 4 s after the change.
func TestAddressChangeToSilentService(t *testing.T) {
	for _, name := range []string{"before the first byte", "in the header", "after the header"} { // the rest send a list first
		elapsed := measureRecovery(t, silenceScripts[name], 2, func(client *discoveryClient, ctx context.Context) {
			client.switchAddress("127.0.0.1:2")
			client.maintainWatch(ctx)
		})
		if elapsed >= 4*time.Second {
			t.Errorf("silent %s: %v", name, elapsed)
		}
	}
}

// Lists may be indented: the response to a list call, the first list of a watch and later changes. Empty lines between them
// are heartbeats.
func TestIndentedLists(t *testing.T) {
	indented := func(revision int64, all bool) string {
		data, err := json.MarshalIndent(endpointList{Revision: revision, Complete: all, Endpoints: []endpoint{readyEndpoint("a", "127.0.0.1:7")}}, "", "\t")
		if err != nil {
			t.Fatal(err)
		}
		return string(data)
	}
	registry := newFakeRegistry(t)
	client, updates := newRecordingClient(t, registry.address())
	client.fetchList(t.Context())
	call := receiveWithin(t, "the call", registry.calls)
	call.sendLine(t, indented(7, true))
	if update := receiveWithin(t, "the list", updates); update.kind != balance.UpdateFull || update.endpoints.Revision != 7 || len(update.endpoints.Endpoints) != 1 {
		t.Errorf("%+v", update)
	}
	close(call.lines)
	client.watch(t.Context())
	call = receiveWithin(t, "the watch", registry.calls)
	for revision := int64(8); revision < 12; revision++ {
		call.sendLine(t, "\n"+indented(revision, revision == 8))
		call.sendLine(t, "")
		if update := receiveWithin(t, "the change", updates); update.endpoints.Revision != revision || (update.kind == balance.UpdateFull) != (revision == 8) {
			t.Errorf("%+v", update)
		}
	}
	call.sendLine(t, indented(12, false)+indented(13, false)) // two lists on one line
	for revision := int64(12); revision < 14; revision++ {
		if update := receiveWithin(t, "the change", updates); update.endpoints.Revision != revision {
			t.Errorf("%+v", update)
		}
	}
}
