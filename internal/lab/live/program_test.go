package live

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"milldeck/internal/lab"
	"milldeck/internal/lab/proc"
	"milldeck/internal/lab/proc/proctest"
)

const serverFile = `number = 3
[kind]
kind = "k"
cores = 2
queue = 4
[[class]]
name = "read"
work_ms = [%s]
aim_ms = 300
deadline_ms = 800
effect = "safe"
[[class]]
name = "book"
work_ms = 1
aim_ms = 300
deadline_ms = 800
effect = "safe"
`

// startServer starts a model server with a harm; it waits for "serves" where that is to come.
func startServer(t *testing.T, work, harm string, serves bool) (*proc.Process, string) {
	t.Helper()
	dir := t.TempDir()
	config, bad := filepath.Join(dir, "server.toml"), filepath.Join(dir, "harm.toml")
	for path, text := range map[string]string{config: fmt.Sprintf(serverFile, work), bad: harm} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	p, err := proc.Start(proc.Spec{
		Name: "server", Path: proctest.Program(t, "milldeck"), Log: filepath.Join(dir, "log"),
		Args: []string{"lab", "server", "--config", config, "--harm", bad, "--name", "u1", "--version", "2"},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Kill)
	if !serves {
		return p, ""
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	line, err := p.WaitLog(ctx, "msg=serves")
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(line, "listen=")
	addr, _, _ := strings.Cut(rest, " ")
	return p, addr
}

// api asks a server as a sidecar does and gives the status, 0 where there is no answer.
func api(t *testing.T, addr, class string, id int) int {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+addr+"/api", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Request-ID", fmt.Sprintf("%016x", id))
	req.Header.Set("X-Priority-Class", class)
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	line, _ := bufio.NewReader(resp.Body).ReadString('\n') // as long as the answer is
	if resp.StatusCode == http.StatusOK && line != fmt.Sprintf("%016x 3", id) {
		t.Errorf("request %x is answered with %q", id, line)
	}
	return resp.StatusCode
}

func health(t *testing.T, addr string) int {
	t.Helper()
	resp, err := http.Get("http://" + addr + "/health/ready")
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// A server's process answers, drains at SIGTERM what it has taken, and a version does wrong what it is told to.
func TestAServerProgram(t *testing.T) {
	t.Run("drains", func(t *testing.T) {
		t.Parallel()
		p, addr := startServer(t, "400, 400", "", true)
		if got := health(t, addr); got != http.StatusOK {
			t.Errorf("ready check: %d", got)
		}
		got := make(chan int)
		go func() { got <- api(t, addr, "read", 7) }()
		awaitOpen(t, addr)
		p.Signal(syscall.SIGTERM)
		if status := <-got; status != http.StatusOK {
			t.Errorf("what it had taken got %d", status)
		}
		if err := p.Exit(); err != nil {
			t.Errorf("its end: %v", err)
		}
	})
	t.Run("loses answers", func(t *testing.T) {
		t.Parallel()
		p, addr := startServer(t, "400, 400", "loses_answers = true\n", true)
		got := make(chan int)
		go func() { got <- api(t, addr, "read", 7) }()
		awaitOpen(t, addr)
		p.Signal(syscall.SIGTERM)
		if status := <-got; status != 0 {
			t.Errorf("what it had taken got %d", status)
		}
	})
	t.Run("one class", func(t *testing.T) {
		t.Parallel()
		_, addr := startServer(t, "1, 1", "error_share = 1\nclass = \"book\"\n", true)
		if a, b := api(t, addr, "read", 1), api(t, addr, "book", 2); a != 200 || b != 500 {
			t.Errorf("read got %d, book %d", a, b)
		}
	})
	t.Run("never ready", func(t *testing.T) {
		t.Parallel()
		if _, addr := startServer(t, "1, 1", "never_ready = true\n", true); health(t, addr) != http.StatusServiceUnavailable {
			t.Error("it says that it is ready")
		}
	})
	t.Run("fails at start", func(t *testing.T) {
		t.Parallel()
		if p, _ := startServer(t, "1, 1", "fails_at_start = true\n", false); p.Exit() == nil {
			t.Error("it ended well")
		}
	})
	t.Run("leaks", func(t *testing.T) {
		t.Parallel()
		p, _ := startServer(t, "1, 1", "leak_mb_s = 200\nleak_most_mb = 20\n", true)
		if err := p.Exit(); err == nil || !strings.Contains(p.Log(), "out of memory") {
			t.Errorf("%v: %s", err, p.Log())
		}
	})
	t.Run("bad file", func(t *testing.T) {
		t.Parallel()
		if p, _ := startServer(t, "1, 1", "error_share = 2\n", false); p.Exit() == nil || !strings.Contains(p.Log(), "harm.toml:1: error_share") {
			t.Errorf("its log: %s", p.Log())
		}
	})
}

// awaitOpen waits until the server holds a request.
func awaitOpen(t *testing.T, addr string) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		resp, err := http.Get("http://" + addr + "/lab/seen")
		if err != nil {
			t.Fatal(err)
		}
		var seen struct{ Open, Taken int }
		err = json.NewDecoder(resp.Body).Decode(&seen)
		resp.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		if seen.Open > 0 {
			return
		}
	}
	t.Fatal("no request came")
}

// The harm of a version is decided by the request alone.
func TestHarm(t *testing.T) {
	h := lab.Regression{ErrorShare: 0.5, Slowdown: 1.3, SlowdownAboveLoad: 1, Class: "read", Tenant: "branch"}
	for _, c := range []struct {
		class, tenant string
		load, fate    float64
		fails         bool
		slower        float64
	}{
		{"read", "branch", 0, 0.4, true, 1}, {"read", "branch", 2, 0.6, false, 1.3},
		{"book", "branch", 2, 0.4, false, 1}, {"read", "portal", 2, 0.4, false, 1},
	} {
		if fails, slower := h.Apply(c.class, c.tenant, c.load, c.fate); fails != c.fails || slower != c.slower {
			t.Errorf("%+v: %v, %v", c, fails, slower)
		}
	}
}
