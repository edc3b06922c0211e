package commander

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/bundler"
	"github.com/hyssoplift/hyssoplift/emulator"
)

// bundleFixture runs the bundle subcommands in a folder with the keys of two operators, against an emulated log.
type bundleFixture struct {
	t      *testing.T
	folder string
	keys   string
	log    *emulator.Log
	// beforeAppend is called for each append; if it returns false, the connection is closed before the log gets it.
	beforeAppend func(request *http.Request) bool
	server       *httptest.Server
}

func newBundleFixture(t *testing.T) *bundleFixture {
	fixture := &bundleFixture{t: t, folder: t.TempDir(), log: emulator.NewLog(), beforeAppend: func(*http.Request) bool { return true }}
	fixture.server = httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.Method == http.MethodPost && !fixture.beforeAppend(request) {
			panic(http.ErrAbortHandler)
		}
		fixture.log.ServeHTTP(writer, request)
	}))
	t.Cleanup(fixture.server.Close)
	linh, _ := fixture.run("keygen", "--name", "linh", fixture.path("linh"))
	asha, _ := fixture.run("keygen", "--name", "asha", fixture.path("asha"))
	fixture.keys = strings.TrimSpace(linh) + "," + strings.TrimSpace(asha)
	return fixture
}

func (fixture *bundleFixture) path(name string) string { return filepath.Join(fixture.folder, name) }

// run runs hyssoplift bundle with args and returns its standard output.
func (fixture *bundleFixture) run(args ...string) (string, error) {
	var stdout, stderr bytes.Buffer
	err := Run(context.Background(), append([]string{"bundle"}, args...), nil, &stdout, &stderr)
	return stdout.String(), err
}

// runWithLog is run with the flags --log and --bundle-keys.
func (fixture *bundleFixture) runWithLog(subcommand string, args ...string) (string, error) {
	args = append([]string{subcommand, "--log", strings.TrimPrefix(fixture.server.URL, "http://"), "--bundle-keys", fixture.keys}, args...)
	return fixture.run(args...)
}

// writeSignedBundle writes a valid bundle, signs it and returns the path of its file.
func (fixture *bundleFixture) writeSignedBundle(name string, version int) string {
	text := fmt.Sprintf(quickstartBundle, "127.0.0.1:1", "127.0.0.1:2")
	return fixture.signBundle(name, strings.Replace(text, "version = 1", fmt.Sprintf("version = %d\n# %s", version, name), 1))
}

// signBundle writes text to a file, signs it as author and approver and returns its path.
func (fixture *bundleFixture) signBundle(name, text string) string {
	fixture.t.Helper()
	if err := os.WriteFile(fixture.path(name), []byte(text), 0o600); err != nil {
		fixture.t.Fatalf("writing the bundle: %v", err)
	}
	_, err := fixture.run("sign", "--name", "linh", "--key", fixture.path("linh"), fixture.path(name))
	if err == nil {
		_, err = fixture.run("approve", "--name", "asha", "--key", fixture.path("asha"), "--bundle-keys", fixture.keys, fixture.path(name))
	}
	if err != nil {
		fixture.t.Fatalf("signing: %v", err)
	}
	return fixture.path(name)
}

// recordCount returns the number of bundle records in the log.
func (fixture *bundleFixture) recordCount() int {
	history, err := fixture.runWithLog("history")
	if err != nil {
		fixture.t.Fatalf("history: %v", err)
	}
	return strings.Count(history, "\n")
}

// Guards against a publication that is lost, appended twice or reported with the wrong outcome when the append fails,
// its answer is lost, its connection hangs, or another bundle is published first.
func TestPublish(t *testing.T) {
	tests := []struct {
		name    string
		fault   func(fixture *bundleFixture)
		want    string
		wantErr bool
		records int
	}{
		{"healthy", func(*bundleFixture) {}, "version 2 is in force, at offset 1", false, 2},
		{"answer lost", func(fixture *bundleFixture) { fixture.log.SetFault(emulator.LogLosesResponses) }, "version 2 is in force, at offset 1", false, 2},
		{"append lost", func(fixture *bundleFixture) {
			calls := 0
			fixture.beforeAppend = func(*http.Request) bool { calls++; return calls > 1 }
		}, "version 2 is in force, at offset 1", false, 2},
		{"connection hangs", func(fixture *bundleFixture) {
			calls := 0
			fixture.beforeAppend = func(request *http.Request) bool {
				if calls++; calls == 1 {
					_, _ = io.Copy(io.Discard, request.Body)
					<-request.Context().Done()
				}
				return calls > 1
			}
		}, "version 2 is in force, at offset 1", false, 2},
		{"other bundle first", func(fixture *bundleFixture) {
			other, err := readRecord(fixture.writeSignedBundle("other", 2))
			if err != nil {
				fixture.t.Fatalf("reading the other bundle: %v", err)
			}
			replaces := int64(0)
			other.Replaces = &replaces
			data, err := other.Encode()
			if err != nil {
				fixture.t.Fatalf("encoding the other bundle: %v", err)
			}
			fixture.beforeAppend = func(*http.Request) bool { fixture.log.Append(bundler.Stream, data); return true }
		}, "not published: version 2 by linh at offset 1 came first", true, 3},
		{"log down", func(fixture *bundleFixture) { fixture.log.SetFault(emulator.LogDown) }, "the log answered 503", true, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			fixture := newBundleFixture(t)
			_, err := fixture.runWithLog("publish", fixture.writeSignedBundle("first", 1))
			is.NoErr(err)
			file := fixture.writeSignedBundle("second", 2)
			test.fault(fixture)
			output, err := fixture.runWithLog("publish", file)
			is.Equal(err != nil, test.wantErr)
			is.True(strings.Contains(output+fmt.Sprint(err), test.want)) // the output shows the outcome
			fixture.log.SetFault(emulator.LogHealthy)
			is.Equal(fixture.recordCount(), test.records)
			if !test.wantErr {
				again, err := fixture.runWithLog("publish", file)
				is.NoErr(err)
				is.Equal(again, output)
				is.Equal(fixture.recordCount(), test.records) // publishing again appends nothing
			}
		})
	}
}

// Guards against publishing a bundle that one operator signed as both author and approver, or that was changed after
// its approval.
func TestSignatures(t *testing.T) {
	is := is.New(t)
	fixture := newBundleFixture(t)
	file := fixture.writeSignedBundle("first", 1)
	_, err := fixture.run("approve", "--name", "linh", "--key", fixture.path("linh"), "--bundle-keys", fixture.keys, file)
	is.True(err != nil && strings.Contains(err.Error(), `author and approver are both "linh"`))
	text, err := os.ReadFile(file)
	is.NoErr(err)
	is.NoErr(os.WriteFile(file, append(text, "# more\n"...), 0o600))
	_, err = fixture.runWithLog("publish", file)
	is.True(err != nil && strings.Contains(err.Error(), "does not match the text"))
	_, err = fixture.runWithLog("status")
	is.True(err != nil && strings.Contains(err.Error(), "the log proves no bundle"))
	_, err = fixture.run("keygen", "--name", "linh", fixture.path("linh"))
	is.True(err != nil) // an existing key file is not overwritten
	is.Equal(fixture.recordCount(), 0)
}

// Guards against publishing a common bundle without the targets of a split failure domain before the domain's part,
// which has them, is in force.
func TestPublishSplit(t *testing.T) {
	is := is.New(t)
	fixture := newBundleFixture(t)
	_, err := fixture.runWithLog("publish", fixture.writeSignedBundle("first", 1))
	is.NoErr(err)
	text := fmt.Sprintf(quickstartBundle, "127.0.0.1:1", "127.0.0.1:2")
	targets := text[strings.Index(text, "[target"):strings.Index(text, "[kind")]
	common := strings.NewReplacer("version = 1", "version = 2", "domain local]", "domain local]\nsplit = true", targets, "").Replace(text)
	part := "[bundle]\nversion = 1\npart = local\n" + targets
	_, err = fixture.runWithLog("publish", fixture.signBundle("common", common))
	is.True(err != nil && strings.Contains(err.Error(), "publish its part first"))
	lint, err := fixture.runWithLog("lint", fixture.signBundle("part", part))
	is.NoErr(err)
	is.True(strings.Contains(lint, "this part is not used yet"))
	_, err = fixture.runWithLog("publish", fixture.path("part"))
	is.NoErr(err)
	output, err := fixture.runWithLog("publish", fixture.path("common"))
	is.NoErr(err)
	is.Equal(output, "version 2 is in force, at offset 1\n")
	status, err := fixture.runWithLog("status", "--part", "local")
	is.NoErr(err)
	is.Equal(status, "version 1 by linh, approved by asha, at offset 0\n")
}
