package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"time"
)

func startupChaos(f *fleet) int {
	seed, _ := strconv.Atoi(os.Getenv("SEED"))
	random := rand.New(rand.NewPCG(uint64(seed), 1))
	keepTrue := os.Getenv("FIRST") == "1"
	var controllers []*machine
	for index := range 5 {
		controllers = append(controllers, f.add(fmt.Sprintf("core-%d", index+1), "controller"))
	}
	front := f.add("front-1", "gateway")
	for _, m := range controllers[:3] {
		f.seeds = append(f.seeds, address(m.ip, f.ports.control))
	}
	for _, m := range controllers {
		_ = f.start(m, true)
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
	}
	_ = f.start(front, true)
	for range 1 + random.IntN(4) {
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
		var killed []*machine
		for _, m := range controllers {
			if random.IntN(2) == 0 {
				f.kill(m)
				if random.IntN(4) == 0 {
					_ = os.RemoveAll(f.folder + "/" + m.name)
					f.record.note("disk of %s lost", m.name)
				}
				killed = append(killed, m)
			}
		}
		time.Sleep(time.Duration(random.IntN(700)) * time.Millisecond)
		for _, m := range killed {
			_ = f.start(m, keepTrue)
		}
	}
	op := &operator{fleet: f, nodes: func() []*machine { return controllers }}
	began := time.Now()
	status, _ := op.order("/v1/items", items([]map[string]any{route("r", "a.example", "/a/", "at_most_once", "s", 7)}, []map[string]any{service("s", false, 7)}), 15*time.Second)
	took := time.Since(began)
	ready := awaitReady(f, front, 5*time.Second)
	clusters := map[string]int{}
	fmt.Println("seed", seed, "status", status, "took", took.Round(time.Millisecond), "ready", ready, clusters)
	if status != 200 || !ready {
		return 1
	}
	return 0
}
