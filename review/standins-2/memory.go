package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["memory"] = playMemory }

const (
	memoryLimitMB     = 32
	memorySockets     = 400
	memoryConnections = 130      // a third of the sockets is 133
	memoryBody        = 12 << 10 // of the first request of a connection
	memoryWork        = 400 * time.Millisecond
	memoryTimeout     = 1500 * time.Millisecond
)

// burst is what one client sends: a request with a body and two small ones.
type burst struct {
	log     *record
	sidecar string
	name    string

	statuses [3]int // 0: no answer
	read     bool   // the sidecar's end of the connection held no unread byte when the last answer had come
	endedBy  error
}

func (b *burst) id(number int) string { return fmt.Sprintf("%s-%d", b.name, number) }

// encode returns a request of the burst.
func (b *burst) encode(number int) string {
	head := fmt.Sprintf("Host: backend.local\r\nX-Request-ID: %s\r\nX-Timeout-Ms: %d\r\n", b.id(number), memoryTimeout.Milliseconds())
	if number > 0 {
		return "GET /api HTTP/1.1\r\n" + head + "X-Priority-Class: cotizar\r\n\r\n"
	}
	return "POST /api HTTP/1.1\r\n" + head + fmt.Sprintf("X-Priority-Class: informe-pdf\r\nIdempotency-Key: key-%s\r\nContent-Length: %d\r\n\r\n",
		b.name, memoryBody) + strings.Repeat("x", memoryBody)
}

// sendAtOnce sends all requests in one write and reads the answers.
func (b *burst) sendAtOnce(conn net.Conn) {
	defer conn.Close()
	if b.endedBy = conn.SetDeadline(time.Now().Add(3*memoryTimeout + answerSlack)); b.endedBy != nil {
		return
	}
	if _, b.endedBy = io.WriteString(conn, b.encode(0)+b.encode(1)+b.encode(2)); b.endedBy != nil {
		return
	}
	b.log.detailf("%s has written three requests", b.name)
	reader := bufio.NewReader(conn)
	for n := range b.statuses {
		if b.endedBy = b.readAnswer(reader, n); b.endedBy != nil {
			b.log.detailf("%s: no answer to %s: %v", b.name, b.id(n), b.endedBy)
			return
		}
		unread, err := unreadBytes(conn)
		b.read = err == nil && unread == 0
		b.log.detailf("%s: %d bytes unread at the sidecar, error %v", b.name, unread, err)
	}
}

// readAnswer reads the answer to a request.
func (b *burst) readAnswer(reader *bufio.Reader, number int) error {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	b.log.detailf("%s: answer %d %q to %s, close: %v", b.name, response.StatusCode, strings.TrimSpace(string(body)), b.id(number), response.Close)
	if response.StatusCode == http.StatusOK && !strings.HasPrefix(string(body), b.id(number)+" by ") {
		return errors.New("an answer to another request")
	}
	b.statuses[number] = response.StatusCode
	return nil
}

// sendOne sends a request alone, on a connection of its own.
func (b *burst) sendOne(number int) error {
	conn, err := net.Dial("tcp", b.sidecar)
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(memoryTimeout + answerSlack)); err != nil {
		return err
	}
	if _, err := io.WriteString(conn, b.encode(number)); err != nil {
		return err
	}
	return b.readAnswer(bufio.NewReader(conn), number)
}

// playMemory lets clients send three requests at once each, while the memory for requests is short.
func playMemory(ctx context.Context, r *run) error {
	servers, err := startServers(r.record, "montevideo-centro", "rapido")
	if err != nil {
		return err
	}
	for _, s := range servers {
		s.work = memoryWork
	}
	listen, err := freeAddress()
	if err != nil {
		return err
	}
	known := endpointList{Revision: 41, Complete: true, Targets: endpoints(servers)}
	address, err := startDiscovery(&discovery{log: r.record, list: known})
	if err != nil {
		return err
	}
	if err := r.startSidecar(ctx, sidecarConfig{
		Name: "n1", Listen: listen, Discovery: address, Seed: "8c1f30d27a5be964", Known: known, Settings: json.RawMessage(pushedSettings),
		Limits: limits(memoryLimitMB, memorySockets),
	}); err != nil {
		return err
	}
	bursts := make([]*burst, memoryConnections)
	conns := make([]net.Conn, memoryConnections)
	for i := range bursts {
		bursts[i] = &burst{log: r.record, sidecar: listen, name: fmt.Sprintf("c%d", i+1)}
		if conns[i], err = net.Dial("tcp", listen); err != nil {
			return err
		}
	}
	var group sync.WaitGroup
	for i, b := range bursts {
		group.Go(func() {
			if r.trouble {
				b.sendAtOnce(conns[i])
				return
			}
			conns[i].Close()
			for n := range b.statuses {
				b.endedBy = errors.Join(b.endedBy, b.sendOne(n))
			}
		})
	}
	group.Wait()
	return r.judgeMemory(bursts)
}

// judgeMemory judges the rule on lost requests.
func (r *run) judgeMemory(bursts []*burst) error {
	counts := map[int]int{}
	lost, again := 0, 0
	for _, b := range bursts {
		for n, status := range b.statuses {
			switch {
			case status != 0:
				counts[status]++
			case b.read:
				lost++
				r.detailf("LOST: %s", b.id(n))
			default:
				again++
				r.detailf("%s may not have been read, and is sent once more: %v", b.id(n), b.sendOne(n))
				if b.statuses[n] == 0 {
					return fmt.Errorf("%s got no answer", b.id(n))
				}
			}
		}
	}
	r.printf("answers by status: %v; %d requests read by the sidecar and never answered, %d sent once more", counts, lost, again)
	if lost > 0 {
		return errBroken
	}
	return nil
}
