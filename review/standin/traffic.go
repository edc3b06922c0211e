package main

import (
	"net/http"
	"sync"
	"time"
)

// othersTraffic submits small jobs of other clients to all machines until stop is closed.
func (world *world) othersTraffic(stop chan struct{}) *sync.WaitGroup {
	var others sync.WaitGroup
	for _, machine := range world.machines {
		others.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(40 * time.Millisecond):
				}
				if machine.runs() {
					others.Go(func() {
						client := world.newClient(2, work{MS: 100, CPU: 4000}, 100*time.Millisecond, 1500*time.Millisecond)
						client.call(http.MethodPost, machine, client.body, client.limit)
					})
				}
			}
		})
	}
	return &others
}
