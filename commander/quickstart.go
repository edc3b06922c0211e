package commander

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/bundler"
	"github.com/hyssoplift/hyssoplift/configurer"
	"github.com/hyssoplift/hyssoplift/emulator"
	"github.com/hyssoplift/hyssoplift/server"
	"github.com/hyssoplift/hyssoplift/submitter"
)

const (
	quickstartTasks   = 10
	quickstartRunMS   = 100
	quickstartTimeout = 10 * time.Second
)

const quickstartBundle = `[bundle]
version = 1

[failure-domain local]

[target runner-1]
failure-domain = local
service = demo
address = %s
slots = 8

[target runner-2]
failure-domain = local
service = demo
address = %s
slots = 8

[kind loop-check]
service = demo
repeatable = true
run-ms = 100

[team demo]
max-in-flight = 100
`

func newQuickstart(stdout io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:      "quickstart",
		ShortHelp: "run everything in one process on loopback and submit one job",
		Exec:      func(ctx context.Context, _ []string) error { return quickstart(ctx, stdout) },
	}
}

// quickstart runs a log, two runners and an entry instance on loopback and submits one job.
func quickstart(ctx context.Context, stdout io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, quickstartTimeout)
	defer cancel()
	log := emulator.NewLog()
	var addresses []string
	for _, handler := range []http.Handler{log, emulator.NewRunner(8, 1), emulator.NewRunner(8, 1)} {
		address, stop, err := serveLoopback(handler)
		if err != nil {
			return err
		}
		defer stop()
		addresses = append(addresses, address)
	}
	record, keys, err := signDemo(fmt.Sprintf(quickstartBundle, addresses[1], addresses[2]))
	if err != nil {
		return err
	}
	log.Append(bundler.Stream, record)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "listening on loopback")
	}
	settings, err := configurer.Read([]string{"--failure-domain=local", "--instance=entry-1", "--log=" + addresses[0], "--bundle-keys=" + keys}, io.Discard)
	if err != nil {
		return err
	}
	instance := server.New(settings, listener, hclog.NewNullLogger())
	if err := waitReady(ctx, listener.Addr().String()); err != nil {
		return err
	}
	if err := submitDemo(ctx, listener.Addr().String(), stdout); err != nil {
		return err
	}
	return instance.Shutdown(ctx, time.Now())
}

// signDemo signs text with two new keys. It returns the encoded record and the value of bundle-keys with both public
// keys.
func signDemo(text string) ([]byte, string, error) {
	authorPublic, authorKey, err := ed25519.GenerateKey(nil)
	if err != nil {
		return nil, "", eris.Wrap(err, "generating a key")
	}
	approverPublic, approverKey, err := ed25519.GenerateKey(nil)
	if err != nil {
		return nil, "", eris.Wrap(err, "generating a key")
	}
	setting := bundler.FormatKey("author", authorPublic) + "," + bundler.FormatKey("approver", approverPublic)
	keys, err := bundler.ParseKeys(setting)
	if err != nil {
		return nil, "", err
	}
	record, err := bundler.NewSigner("author", authorKey).SignAsAuthor(text)
	if err != nil {
		return nil, "", err
	}
	record, err = bundler.NewSigner("approver", approverKey).Approve(record, keys)
	if err != nil {
		return nil, "", err
	}
	data, err := record.Encode()
	return data, setting, err
}

// submitDemo submits one job and prints its answer and the time it took.
func submitDemo(ctx context.Context, address string, stdout io.Writer) error {
	start := time.Now()
	payload := fmt.Appendf(nil, `{"run-ms": %d}`, quickstartRunMS)
	job := newJob("", "loop-check", "demo", start.Add(quickstartTimeout), quickstartTasks, payload)
	outcome, key, err := submitter.New(address).Submit(ctx, job)
	if err != nil {
		return err
	}
	if err := printOutcome(stdout, key, outcome); err != nil {
		return err
	}
	took := time.Since(start)
	fmt.Fprintf(stdout, "%d tasks answered in %d ms; the ideal is %d ms\n", quickstartTasks, took.Milliseconds(), quickstartRunMS)
	return nil
}

// serveLoopback serves handler on a free loopback port. It returns the address and a function that stops the server.
func serveLoopback(handler http.Handler) (string, func(), error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, eris.Wrap(err, "listening on loopback")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), func() { _ = server.Close() }, nil
}

// waitReady polls the instance at address until it is ready or ctx is done.
func waitReady(ctx context.Context, address string) error {
	for {
		response, err := http.Get("http://" + address + "/readyz")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusNoContent {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return eris.New("the instance did not become ready")
		case <-time.After(5 * time.Millisecond):
		}
	}
}
