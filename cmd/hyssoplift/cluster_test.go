package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/hyssoplift/hyssoplift/emulator"
	"github.com/hyssoplift/hyssoplift/server"
)

// cluster is a failure domain whose instances and emulated services run as separate processes.
type cluster struct {
	t      *testing.T
	folder string
	log    string
	list   string
	runner string
	keys   string // value of the setting bundle-keys
}

// member is one instance of a cluster.
type member struct {
	name    string
	address string
	command *exec.Cmd
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	folder := buildCommands(t)
	cluster := &cluster{
		t: t, folder: folder, log: startStandin(t, folder, "log"),
		list: startStandin(t, folder, "list", "--lag", "200ms"), runner: startStandin(t, folder, "runner", "--slots", "256"),
	}
	cluster.keys = publish(t, folder, cluster.log, fmt.Sprintf(testBundle, cluster.runner))
	return cluster
}

// startInstance starts an instance and adds it to the instance list.
func (cluster *cluster) startInstance(name string, settings ...string) *member {
	cluster.t.Helper()
	settings = append([]string{"--failure-domain", "local", "--instance", name, "--log", cluster.log, "--list", cluster.list, "--bundle-keys", cluster.keys}, settings...)
	member := &member{name: name}
	member.address, member.command = startInstanceProcess(cluster.t, cluster.folder, settings...)
	cluster.updateList(http.MethodPut, member)
	return member
}

// updateList sends a request for the member's entry in the instance list: PUT adds it, DELETE removes it.
func (cluster *cluster) updateList(method string, member *member) {
	cluster.t.Helper()
	body := strings.NewReader(fmt.Sprintf(`{"failure-domain":"local","address":%q}`, member.address))
	request, err := http.NewRequest(method, "http://"+cluster.list+"/instances/"+member.name, body)
	if err != nil {
		cluster.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		cluster.t.Fatal(err)
	}
	response.Body.Close()
}

// waitForView waits until each of the members is synced in a view of exactly these members.
func (cluster *cluster) waitForView(members ...*member) {
	cluster.t.Helper()
	var last string
	for deadline := time.Now().Add(60 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		synced := 0
		for _, member := range members {
			var status server.Status
			last = fetchJSON("http://"+member.address+"/v1/status", &status)
			if status.Synced && len(status.Members) == len(members) && len(status.Departing) == 0 {
				synced++
			}
		}
		if synced == len(members) {
			return
		}
	}
	cluster.t.Fatalf("the members did not agree on one view; last status: %s", last)
}

// fetchJSON decodes the JSON document at url into value and returns its text. After an error, it returns the text of
// the error, and value may be unchanged.
func fetchJSON(url string, value any) string {
	client := http.Client{Timeout: 2 * time.Second}
	response, err := client.Get(url)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	_ = json.Unmarshal(text, value)
	return string(text)
}

// startCounts returns how often the runner has started each task, by the echo field of its payload.
func (cluster *cluster) startCounts() map[string]int {
	var starts []emulator.TaskStart
	fetchJSON("http://"+cluster.runner+"/starts", &starts)
	counts := make(map[string]int)
	for _, start := range starts {
		counts[string(start.Echo)]++
	}
	return counts
}
