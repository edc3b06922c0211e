package server

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/bundler"
	"github.com/hyssoplift/hyssoplift/configurer"
	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/emulator"
	"github.com/hyssoplift/hyssoplift/submitter"
)

const bundleTemplate = `[bundle]
version = %d
[failure-domain local]
[target runner-1]
failure-domain = local
service = demo
address = %s
slots = 8
[kind %s]
service = demo
repeatable = true
[team demo]
max-in-flight = 100
`

// signBundle returns a signed record of text, and the setting bundle-keys that verifies it.
func signBundle(text string, replaces *int64) ([]byte, string, error) {
	author := ed25519.NewKeyFromSeed(bytes.Repeat([]byte{1}, ed25519.SeedSize))
	approver := ed25519.NewKeyFromSeed(bytes.Repeat([]byte{2}, ed25519.SeedSize))
	setting := bundler.FormatKey("linh", author.Public().(ed25519.PublicKey)) + "," + bundler.FormatKey("asha", approver.Public().(ed25519.PublicKey))
	keys, err := bundler.ParseKeys(setting)
	if err != nil {
		return nil, "", err
	}
	record, err := bundler.NewSigner("linh", author).SignAsAuthor(text)
	if err == nil {
		record, err = bundler.NewSigner("asha", approver).Approve(record, keys)
	}
	if err != nil {
		return nil, "", err
	}
	record.Replaces = replaces
	data, err := record.Encode()
	return data, setting, err
}

// Guards against a new bundle that aborts or changes a request in flight.
func TestNewBundleKeepsRequestsInFlight(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	started, release := make(chan struct{}, 1), make(chan struct{})
	log := emulator.NewLog()
	logServer := httptest.NewServer(log)
	runnerServer := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		started <- struct{}{}
		<-release
		_, _ = io.WriteString(writer, "{}")
	}))
	defer logServer.Close()
	defer runnerServer.Close()
	address := strings.TrimPrefix(runnerServer.URL, "http://")
	first, keys, err := signBundle(fmt.Sprintf(bundleTemplate, 1, address, "loop-check"), nil)
	is.NoErr(err)
	log.Append(bundler.Stream, first)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	settings, err := configurer.Read([]string{
		"--failure-domain=local", "--instance=entry-1", "--log=" + strings.TrimPrefix(logServer.URL, "http://"), "--bundle-keys=" + keys,
	}, io.Discard)
	is.NoErr(err)
	server := New(settings, listener, hclog.NewNullLogger())
	defer func() { is.NoErr(server.Shutdown(ctx, time.Now())) }()
	waitFor(t, func() bool { return server.bundle.Load() != nil })

	submit := func() (dispatcher.Outcome, error) {
		job := dispatcher.NewJob("", "loop-check", "demo", time.Now().Add(time.Minute), []dispatcher.Task{dispatcher.NewTask("one", []byte(`{}`))})
		outcome, _, err := submitter.New(listener.Addr().String()).Submit(ctx, job)
		return outcome, err
	}
	answers := make(chan dispatcher.Outcome, 1)
	go func() {
		outcome, _ := submit()
		answers <- outcome
	}()
	<-started
	replaced := int64(0)
	second, _, err := signBundle(fmt.Sprintf(bundleTemplate, 2, address, "circuit-plan"), &replaced)
	is.NoErr(err)
	log.Append(bundler.Stream, second)
	waitFor(t, func() bool { return server.bundle.Load().Version() == 2 })
	close(release)
	_, ok := (<-answers).(dispatcher.Complete)
	is.True(ok) // it is answered under the bundle with which it began
	outcome, err := submit()
	is.NoErr(err)
	refused, ok := outcome.(dispatcher.Refused)
	is.True(ok && refused.Reason() == dispatcher.ReasonUnknownKind) // the next request uses the new bundle
}

func waitFor(tb testing.TB, condition func() bool) {
	tb.Helper()
	for deadline := time.Now().Add(30 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			tb.Fatal("timed out waiting for the condition")
		}
	}
}
