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

// linkedPackages makes the test binary depend on the packages of the commands. Together with the source file that
// buildCommands reads, it invalidates the cached test result when the commands change. The cache key of go test covers
// only the packages that the test binary links and the files of the module that it opens, so without this a result of
// earlier commands could be reported.
var linkedPackages = []any{commander.Run, emulator.NewList}

// buildCommands builds hyssoplift and hyssoplift-standin and returns the folder with the binaries.
func buildCommands(t *testing.T) string {
	t.Helper()
	// The check of linkedPackages never fails; without a use, staticcheck reports the variable.
	if _, err := os.ReadFile("../hyssoplift-standin/main.go"); err != nil || slices.Contains(linkedPackages, nil) {
		t.Fatalf("reading the source of the emulated services: %v", err)
	}
	folder := t.TempDir()
	build := exec.Command("go", "build", "-o", folder, ".", "../hyssoplift-standin")
	output, err := build.CombinedOutput()
	if err != nil {
		t.Fatalf("building the commands: %v\n%s", err, output)
	}
	return folder
}

// newCommand returns a command that the caller starts and whose process is killed at the end of the test.
func newCommand(t *testing.T, path string, args ...string) *exec.Cmd {
	t.Helper()
	command := exec.Command(path, args...)
	command.Stderr = os.Stderr
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	return command
}

// startStandin starts an emulated service of the platform and returns the address that it prints.
func startStandin(t *testing.T, folder string, args ...string) string {
	t.Helper()
	command := newCommand(t, filepath.Join(folder, "hyssoplift-standin"), args...)
	output, err := command.StdoutPipe()
	if err == nil {
		err = command.Start()
	}
	if err != nil {
		t.Fatalf("starting emulated service %v: %v", args, err)
	}
	line, err := bufio.NewReader(output).ReadString('\n')
	if err != nil {
		t.Fatalf("reading the address of emulated service %v: %v", args, err)
	}
	return strings.TrimSpace(line)
}

// startInstance starts an entry instance on a free port and returns its address.
func startInstance(t *testing.T, folder string, settings ...string) string {
	t.Helper()
	address, _ := startInstanceProcess(t, folder, settings...)
	return address
}

// startInstanceProcess is like startInstance and also returns the process. It takes the address from the first log line
// with a listen field and copies later lines to standard error.
func startInstanceProcess(t *testing.T, folder string, settings ...string) (string, *exec.Cmd) {
	t.Helper()
	command := newCommand(t, filepath.Join(folder, "hyssoplift"), append([]string{"serve", "--listen", "127.0.0.1:0"}, settings...)...)
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

// waitReady polls the instance at address until it is ready.
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

// runBundleCommand runs a subcommand of hyssoplift bundle and returns its standard output.
func runBundleCommand(t *testing.T, folder string, args ...string) string {
	t.Helper()
	command := exec.Command(filepath.Join(folder, "hyssoplift"), append([]string{"bundle"}, args...)...)
	command.Stderr = os.Stderr
	output, err := command.Output()
	if err != nil {
		t.Fatalf("bundle %v: %v", args, err)
	}
	return strings.TrimSpace(string(output))
}

// publish signs a bundle with two new keys and publishes it, with the subcommands that operators use. It returns the
// value of bundle-keys with the public keys.
func publish(t *testing.T, folder, log, text string) string {
	t.Helper()
	work := t.TempDir()
	file, author, approver := filepath.Join(work, "bundle.ini"), filepath.Join(work, "author"), filepath.Join(work, "approver")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatalf("writing the bundle: %v", err)
	}
	keys := runBundleCommand(t, folder, "keygen", "--name", "linh", author) + "," + runBundleCommand(t, folder, "keygen", "--name", "asha", approver)
	runBundleCommand(t, folder, "lint", "--log", log, "--bundle-keys", keys, file)
	runBundleCommand(t, folder, "sign", "--name", "linh", "--key", author, file)
	runBundleCommand(t, folder, "approve", "--name", "asha", "--key", approver, "--bundle-keys", keys, file)
	runBundleCommand(t, folder, "publish", "--log", log, "--bundle-keys", keys, file)
	return keys
}

// Guards against a failure at any point of a job's path through separate processes: log, instance, runner and caller.
func TestJobAcrossProcesses(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	folder := buildCommands(t)
	log := startStandin(t, folder, "log")
	runner := startStandin(t, folder, "runner")
	keys := publish(t, folder, log, fmt.Sprintf(testBundle, runner))
	listen := startInstance(t, folder, "--failure-domain", "local", "--instance", "entry-1", "--log", log, "--bundle-keys", keys)
	waitReady(t, listen)

	submit := exec.Command(filepath.Join(folder, "hyssoplift"), "submit",
		"--address", listen, "--kind", "loop-check", "--team", "demo", "--tasks", "5", "--payload", `{"run-ms": 20}`)
	answer, err := submit.Output()
	is.NoErr(err)                                                     // submit the job
	is.True(strings.Contains(string(answer), `"outcome":"complete"`)) // the answer is complete
	is.Equal(strings.Count(string(answer), `"name"`), 5)              // it carries every result
}
