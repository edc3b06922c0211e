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

// cluster is one failure domain of real processes.
type cluster struct {
	t      *testing.T
	folder string
	log    string
	list   string
	runner string
	keys   string
}

// member is one instance of a cluster.
type member struct {
	name    string
	address string
	command *exec.Cmd
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	folder := binaries(t)
	cluster := &cluster{
		t: t, folder: folder, log: standin(t, folder, "log"),
		list: standin(t, folder, "list", "--lag", "200ms"), runner: standin(t, folder, "runner", "--slots", "256"),
	}
	cluster.keys = publish(t, folder, cluster.log, fmt.Sprintf(testBundle, cluster.runner))
	return cluster
}

// start starts an instance and enters it in the list.
func (cluster *cluster) start(name string, settings ...string) *member {
	cluster.t.Helper()
	settings = append([]string{"--failure-domain", "local", "--instance", name, "--log", cluster.log, "--list", cluster.list, "--bundle-keys", cluster.keys}, settings...)
	member := &member{name: name}
	member.address, member.command = instanceProcess(cluster.t, cluster.folder, settings...)
	cluster.enlist(http.MethodPut, member)
	return member
}

// enlist changes the member's entry in the list.
func (cluster *cluster) enlist(method string, member *member) {
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

// await waits until each member is synced in a view of exactly the given members.
func (cluster *cluster) await(members ...*member) {
	cluster.t.Helper()
	var last string
	for deadline := time.Now().Add(60 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		settled := 0
		for _, member := range members {
			var status server.Status
			last = fetch("http://"+member.address+"/v1/status", &status)
			if status.Synced && len(status.Members) == len(members) && len(status.Departing) == 0 {
				settled++
			}
		}
		if settled == len(members) {
			return
		}
	}
	cluster.t.Fatalf("the members did not settle in one view; last status: %s", last)
}

// fetch decodes a JSON document and returns its text; the value stays empty after an error.
func fetch(url string, into any) string {
	client := http.Client{Timeout: 2 * time.Second}
	response, err := client.Get(url)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	_ = json.Unmarshal(text, into)
	return string(text)
}

// starts returns how often the runner has started each echo.
func (cluster *cluster) starts() map[string]int {
	var starts []emulator.TaskStart
	fetch("http://"+cluster.runner+"/starts", &starts)
	counts := make(map[string]int)
	for _, start := range starts {
		counts[string(start.Echo)]++
	}
	return counts
}
