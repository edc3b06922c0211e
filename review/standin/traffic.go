package main

import (
	"math/rand/v2"
	"net/http"
	"slices"
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

// fourDomains is a deployment of some size.
var fourDomains = []zone{{"ahd", 4, 7}, {"srt", 4, 7}, {"vdr", 4, 7}, {"rjk", 4, 7}}

// jobTraffic submits a job to each machine in each interval until stop is closed. Clients that get no answer send their job again
// to any other machine, whether it is ready or not.
func (world *world) jobTraffic(stop chan struct{}, every time.Duration, create func() *client) *sync.WaitGroup {
	var group sync.WaitGroup
	for _, machine := range world.machines {
		group.Go(func() {
			time.Sleep(rand.N(every))
			for {
				select {
				case <-stop:
					return
				case <-time.After(every):
				}
				if !machine.runs() {
					continue
				}
				client := create()
				group.Go(func() {
					if status, _ := client.call(http.MethodPost, machine, client.body, client.limit); status != 0 && status != http.StatusGatewayTimeout {
						return
					}
					time.Sleep(retransmit)
					client.breakAfter = 0
					next := world.machines[(machine.index+1+rand.IntN(len(world.machines)-1))%len(world.machines)]
					client.call(http.MethodPost, next, client.body, client.limit)
				})
			}
		})
	}
	return &group
}

// draw returns a number of the machines in random order.
func (world *world) draw(number int) []*machine {
	drawn := slices.Clone(world.machines)
	rand.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	return drawn[:number]
}
