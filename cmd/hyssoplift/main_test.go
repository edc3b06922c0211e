package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/commander"
	"github.com/hyssoplift/hyssoplift/emulator"
)

const testBundle = `[bundle]
version = 1
[failure-domain local]
[target runner-1]
failure-domain = local
service = demo
address = %s
slots = 8
[kind loop-check]
service = demo
repeatable = true
[team demo]
max-in-flight = 100
`

// linked and the source that binaries reads make the test cache see a change of the commands: it knows only
// what the test binary links and which files of the module it opens, and would keep an earlier result in force.
var linked = []any{commander.Run, emulator.NewList}

// binaries builds the two commands and returns the folder that holds them.
func binaries(t *testing.T) string {
	t.Helper()
	if _, err := os.ReadFile("../hyssoplift-standin/main.go"); err != nil || slices.Contains(linked, nil) {
		t.Fatalf("reading the source of the stand-ins: %v", err)
	}
	folder := t.TempDir()
	build := exec.Command("go", "build", "-o", folder, ".", "../hyssoplift-standin")
	output, err := build.CombinedOutput()
	if err != nil {
		t.Fatalf("building the commands: %v\n%s", err, output)
	}
	return folder
}

// launch starts a process that is killed at the end of the test.
func launch(t *testing.T, path string, args ...string) *exec.Cmd {
	t.Helper()
	command := exec.Command(path, args...)
	command.Stderr = os.Stderr
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	return command
}

// standin starts a stand-in and returns the address that it prints.
func standin(t *testing.T, folder string, args ...string) string {
	t.Helper()
	command := launch(t, filepath.Join(folder, "hyssoplift-standin"), args...)
	output, err := command.StdoutPipe()
	if err == nil {
		err = command.Start()
	}
	if err != nil {
		t.Fatalf("starting stand-in %v: %v", args, err)
	}
	line, err := bufio.NewReader(output).ReadString('\n')
	if err != nil {
		t.Fatalf("reading the address of stand-in %v: %v", args, err)
	}
	return strings.TrimSpace(line)
}

// instance starts an entry instance on a free port and returns the address in its first log line.
func instance(t *testing.T, folder string, settings ...string) string {
	t.Helper()
	address, _ := instanceProcess(t, folder, settings...)
	return address
}

// instanceProcess is instance that also returns the process.
func instanceProcess(t *testing.T, folder string, settings ...string) (string, *exec.Cmd) {
	t.Helper()
	command := launch(t, filepath.Join(folder, "hyssoplift"), append([]string{"serve", "--listen", "127.0.0.1:0"}, settings...)...)
	command.Stderr = nil
	output, err := command.StderrPipe()
	if err == nil {
		err = command.Start()
	}
	if err != nil {
		t.Fatalf("starting an instance: %v", err)
	}
	lines := bufio.NewScanner(output)
	var line struct{ Listen string }
	for line.Listen == "" && lines.Scan() {
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			t.Fatalf("log line %q: %v", lines.Text(), err)
		}
	}
	go func() {
		for lines.Scan() {
			fmt.Fprintln(os.Stderr, lines.Text())
		}
	}()
	return line.Listen, command
}

func waitReady(t *testing.T, address string) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		response, err := http.Get("http://" + address + "/readyz")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusNoContent {
			return
		}
	}
	t.Fatal("the instance did not become ready")
}

// operate runs a subcommand of hyssoplift bundle and returns what it prints.
func operate(t *testing.T, folder string, args ...string) string {
	t.Helper()
	command := exec.Command(filepath.Join(folder, "hyssoplift"), append([]string{"bundle"}, args...)...)
	command.Stderr = os.Stderr
	output, err := command.Output()
	if err != nil {
		t.Fatalf("bundle %v: %v", args, err)
	}
	return strings.TrimSpace(string(output))
}

// publish signs text with two new keys, publishes it with the commands that operators use, and returns the public keys.
func publish(t *testing.T, folder, log, text string) string {
	t.Helper()
	work := t.TempDir()
	file, author, approver := filepath.Join(work, "bundle.ini"), filepath.Join(work, "author"), filepath.Join(work, "approver")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatalf("writing the bundle: %v", err)
	}
	keys := operate(t, folder, "keygen", "--name", "linh", author) + "," + operate(t, folder, "keygen", "--name", "asha", approver)
	operate(t, folder, "lint", "--log", log, "--bundle-keys", keys, file)
	operate(t, folder, "sign", "--name", "linh", "--key", author, file)
	operate(t, folder, "approve", "--name", "asha", "--key", approver, "--bundle-keys", keys, file)
	operate(t, folder, "publish", "--log", log, "--bundle-keys", keys, file)
	return keys
}

// Guards against a break anywhere on the path between real processes: log, instance, runner and caller.
func TestJobAcrossProcesses(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	folder := binaries(t)
	log := standin(t, folder, "log")
	runner := standin(t, folder, "runner")
	keys := publish(t, folder, log, fmt.Sprintf(testBundle, runner))
	listen := instance(t, folder, "--failure-domain", "local", "--instance", "entry-1", "--log", log, "--bundle-keys", keys)
	waitReady(t, listen)

	submit := exec.Command(filepath.Join(folder, "hyssoplift"), "submit",
		"--address", listen, "--kind", "loop-check", "--team", "demo", "--tasks", "5", "--payload", `{"run-ms": 20}`)
	answer, err := submit.Output()
	is.NoErr(err)                                                     // submit the job
	is.True(strings.Contains(string(answer), `"outcome":"complete"`)) // the answer is complete
	is.Equal(strings.Count(string(answer), `"name"`), 5)              // it carries every result
}
