package main

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["pipeline"] = playPipeline }

const (
	pipelineClients  = 4
	pipelineRequests = 7
	pipelineBody     = 60 << 10 // bytes; a body holds at most 64 KiB
	pipelineWork     = 600 * time.Millisecond
	pipelineTimeout  = 5 * time.Second
	answerSlack      = 500 * time.Millisecond
)

// pipelineRequest is a request of a client that sends many at once.
type pipelineRequest struct {
	id        string
	writtenAt time.Time
	read      bool // the sidecar's socket was empty after its last byte was written
	status    int  // 0: no answer
	late      bool
}

// pipelineClient sends requests on one connection, without waiting for answers.
type pipelineClient struct {
	log      *record
	name     string
	conn     net.Conn
	requests []*pipelineRequest
	served   chan int // the number of each request that was answered
	ended    chan struct{}
	endedBy  error
}

// playPipeline lets clients send many requests at once. Each that was read has to get its answer.
func playPipeline(ctx context.Context, r *run) error {
	servers, err := startServers(r.record, "montevideo-centro", "rapido")
	if err != nil {
		return err
	}
	for _, s := range servers {
		s.work = pipelineWork
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
	}); err != nil {
		return err
	}
	var group sync.WaitGroup
	all := make([]*pipelineClient, pipelineClients)
	for i := range all {
		client := &pipelineClient{log: r.record, name: fmt.Sprintf("c%d", i+1), served: make(chan int, pipelineRequests), ended: make(chan struct{})}
		if client.conn, err = net.Dial("tcp", listen); err != nil {
			return err
		}
		all[i] = client
		group.Go(func() { client.play(ctx, !r.trouble) })
	}
	group.Wait()
	return r.judgePipeline(ctx, listen, all)
}

// play sends the requests, all at once or one after the other, and waits for the answers.
func (c *pipelineClient) play(ctx context.Context, oneAtATime bool) {
	defer c.conn.Close()
	for n := range pipelineRequests {
		c.requests = append(c.requests, &pipelineRequest{id: fmt.Sprintf("%s-%d", c.name, n)})
	}
	go c.readAnswers()
	for n, request := range c.requests {
		if _, err := c.conn.Write(encodePipelined(request.id)); err != nil {
			c.log.detailf("%s cannot write %s: %v", c.name, request.id, err)
			break
		}
		request.writtenAt = time.Now()
		c.log.detailf("%s has written %s", c.name, request.id)
		if oneAtATime {
			if !c.awaitAnswer(ctx, n) {
				break
			}
			continue
		}
		request.read = c.awaitRead(ctx, request.id)
	}
	select {
	case <-c.ended:
	case <-ctx.Done():
	case <-time.After(pipelineTimeout + 2*answerSlack):
	}
	c.log.detailf("%s: the connection ended with %v", c.name, c.endedBy)
}

// awaitAnswer waits for the answer to a request.
func (c *pipelineClient) awaitAnswer(ctx context.Context, number int) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-c.ended:
			return c.endedBy == nil && number == pipelineRequests-1
		case answered := <-c.served:
			if answered == number {
				return true
			}
		}
	}
}

// awaitRead waits for up to 50 ms until the sidecar's end of the connection holds no unread bytes.
func (c *pipelineClient) awaitRead(ctx context.Context, id string) bool {
	for range 25 {
		if unread, err := unreadBytes(c.conn); err == nil && unread == 0 {
			c.log.detailf("%s: the sidecar has read %s", c.name, id)
			return true
		}
		if sleep(ctx, 2*time.Millisecond) != nil {
			return false
		}
	}
	return false
}

// readAnswers reads the answers in order, until all have come or the connection ends.
func (c *pipelineClient) readAnswers() {
	defer close(c.ended)
	reader := bufio.NewReader(c.conn)
	for n, request := range c.requests {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			c.endedBy = err
			return
		}
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil {
			c.endedBy = err
			return
		}
		request.status = response.StatusCode
		request.late = time.Since(request.writtenAt) > pipelineTimeout+answerSlack
		c.log.detailf("%s got %d %q to %s", c.name, response.StatusCode, strings.TrimSpace(string(body)), request.id)
		if request.status == http.StatusOK && !strings.HasPrefix(string(body), request.id+" by ") {
			c.endedBy = errors.New("an answer to another request")
			return
		}
		c.served <- n
	}
}

func encodePipelined(id string) []byte {
	head := fmt.Sprintf("POST /api HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: %s\r\nX-Priority-Class: informe-pdf\r\nX-Timeout-Ms: %d\r\n"+
		"Idempotency-Key: key-%s\r\nContent-Length: %d\r\n\r\n", id, pipelineTimeout.Milliseconds(), id, pipelineBody)
	return append([]byte(head), make([]byte, pipelineBody)...)
}

// unreadBytes returns how many bytes the other end of a connection on this machine holds that its process has not read.
func unreadBytes(conn net.Conn) (int64, error) {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	local, remote := procAddress(conn.RemoteAddr()), procAddress(conn.LocalAddr())
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) > 4 && fields[1] == local && fields[2] == remote {
			_, received, _ := strings.Cut(fields[4], ":")
			return strconv.ParseInt(received, 16, 64)
		}
	}
	return 0, errors.New("the other end is closed")
}

// procAddress returns an address as /proc/net/tcp writes it.
func procAddress(address net.Addr) string {
	addrPort := netip.MustParseAddrPort(address.String())
	ip := addrPort.Addr().As4()
	return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(ip[:]), addrPort.Port())
}

// judgePipeline judges the rule on lost requests.
func (r *run) judgePipeline(ctx context.Context, sidecar string, all []*pipelineClient) error {
	lost, answered := 0, 0
	for _, c := range all {
		statuses := ""
		for _, request := range c.requests {
			switch {
			case request.status != 0 && !request.late:
				answered++
				statuses += fmt.Sprintf(" %d", request.status)
			case request.read:
				lost++
				statuses += " LOST"
			case request.writtenAt.IsZero():
				statuses += " unsent"
			default:
				statuses += " unanswered:" + r.sendAgain(ctx, sidecar, request.id)
			}
		}
		r.printf("%s:%s; the connection ended with %v", c.name, statuses, c.endedBy)
	}
	r.printf("%d answered, %d read by the sidecar and never answered", answered, lost)
	if lost > 0 {
		return errBroken
	}
	if answered != pipelineClients*pipelineRequests {
		return errors.New("not all were answered, and none is known to have been read: the run shows nothing")
	}
	return nil
}

// sendAgain sends a request that may not have been read once more, on a connection of its own.
func (r *run) sendAgain(ctx context.Context, sidecar, id string) string {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", sidecar)
	if err != nil {
		return err.Error()
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(pipelineTimeout + answerSlack)); err != nil {
		return err.Error()
	}
	if _, err := conn.Write(encodePipelined(id)); err != nil {
		return err.Error()
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	r.detailf("%s, sent once more, got %d", id, response.StatusCode)
	return strconv.Itoa(response.StatusCode)
}
