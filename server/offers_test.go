package server

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/appender"
	"github.com/hyssoplift/hyssoplift/bundler"
	"github.com/hyssoplift/hyssoplift/configurer"
	"github.com/hyssoplift/hyssoplift/emulator"
)

// Guards against an instance that has no bundle, or keeps an old one, because it cannot reach the log although its
// peers can.
func TestBundleFromPeers(t *testing.T) {
	is := is.New(t)
	servers, _ := startDomains(t, emulator.NewRunner(8, 1))
	common := servers[0].settings
	down := emulator.NewLog()
	down.SetFault(emulator.LogDown)
	log := httptest.NewServer(down)
	defer log.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	settings, err := configurer.Read([]string{
		"--failure-domain", "ahd", "--instance", "entry-5", "--bundle-keys", common.Text("bundle-keys"),
		"--log", log.Listener.Addr().String(), "--list", common.Text("list"),
	}, io.Discard)
	is.NoErr(err)
	late := New(settings, listener, hclog.NewNullLogger())
	defer func() {
		late.stop()
		late.linker.Close()
		_ = late.http.Close()
	}()
	listed := fmt.Sprintf(`{"name":"entry-5","failure-domain":"ahd","address":%q,"state":"live"}`, listener.Addr())
	put, err := http.NewRequest(http.MethodPut, "http://"+common.Text("list")+"/instances/entry-5", strings.NewReader(listed))
	is.NoErr(err)
	response, err := http.DefaultClient.Do(put)
	is.NoErr(err)
	response.Body.Close()
	is.True(response.StatusCode < 300) // the instance is listed
	inForce := func(version int64) func() bool {
		return func() bool {
			bundle := late.bundle.Load()
			return bundle != nil && bundle.Version() == version
		}
	}
	waitFor(t, inForce(1)) // started while the log was down

	first := fmt.Sprintf(twoDomainBundle, "127.0.0.1:1")
	replaces := int64(0)
	second, _, err := signBundle(strings.Replace(first, "version = 1", "version = 2", 1), &replaces)
	is.NoErr(err)
	_, err = appender.New(common.Text("log")).Append(context.Background(), bundler.Stream, second)
	is.NoErr(err)
	waitFor(t, inForce(2)) // changed while the log was down
}
