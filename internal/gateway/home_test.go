package gateway

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/link"
	"github.com/thorntiller/thorntiller/internal/wire"
)

// TestGatewaysSpreadOverControllers starts n and 2n gateways in five zones with three seeds. In the end no
// stream crosses a zone border, and the streams are spread over all controllers.
func TestGatewaysSpreadOverControllers(t *testing.T) {
	const zones, each = 5, 2
	var controllers, seeds []string
	for zone := range zones {
		for number := range each {
			controllers = append(controllers, fmt.Sprintf("10.%d.0.%d:7000", zone+1, number+1))
		}
	}
	for _, zone := range []int{1, 2, 2} {
		seeds = append(seeds, fmt.Sprintf("10.%d.0.1:8000", zone))
	}
	for _, gateways := range []int{300, 600} {
		streams := make(map[string]int)
		for number := range gateways {
			own := fmt.Sprintf("10.%d.3.%d:80", number%zones+1, number%250)
			s := &subscription{settings: config.Gateway{Name: fmt.Sprintf("gateway-%d", number), Address: own, Seeds: seeds, ControllerPort: 7000}}
			present := s.candidates()[0]
			s.controllers = controllers
			if s.home(controllers) != present {
				present = s.candidates()[0]
			}
			if s.home(controllers) != present || wire.SharedNetwork(present, own) != 2 {
				t.Fatalf("gateway %s stays at %s", own, present)
			}
			streams[present]++
		}
		for _, controller := range controllers {
			if count, share := streams[controller], gateways/len(controllers); count < share/2 || count > 2*share {
				t.Errorf("%d of %d streams at controller %s", count, gateways, controller)
			}
		}
	}
}

// TestGatewaysAtOneAddressSpread checks that gateways that listen on all interfaces do not all have the same
// home controller.
func TestGatewaysAtOneAddressSpread(t *testing.T) {
	controllers := []string{"10.1.0.1:7000", "10.2.0.1:7000", "10.3.0.1:7000"}
	const gateways = 300
	streams := make(map[string]int)
	for number := range gateways {
		streams[homeOf(fmt.Sprintf("gateway-%d", number), "0.0.0.0:80", controllers)]++
	}
	for _, controller := range controllers {
		if count, share := streams[controller], gateways/len(controllers); count < share/2 || count > 2*share {
			t.Errorf("%d of %d streams at controller %s", count, gateways, controller)
		}
	}
}

// TestGoesOverOnceAndLater checks that a gateway switches to its home controller within some seconds, not at
// the same time as all others, and retries rarely while that controller does not answer.
func TestGoesOverOnceAndLater(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	began := time.Unix(0, 0)
	var within [3]int
	for range 600 {
		var h homeSwitch
		var moves []time.Duration
		for elapsed := time.Duration(0); elapsed < 30*time.Second; elapsed += 500 * time.Millisecond {
			if h.due(began.Add(elapsed), true, random.Float64()) {
				moves = append(moves, elapsed)
			}
		}
		if len(moves) == 0 || moves[0] < minHomeDelay || moves[0] > maxHomeDelay+time.Second {
			t.Fatalf("switches after %s", moves)
		}
		if len(moves) > 2 {
			t.Errorf("switches %d times in 30 s although its home controller does not answer", len(moves))
		}
		within[min(int(moves[0]/time.Second)-1, 2)]++
	}
	for second, count := range within[:2] {
		if count < 100 || count > 500 {
			t.Errorf("%d of 600 gateways switch in second %d", count, second+1)
		}
	}
	var h homeSwitch
	h.due(began, true, 0.5)
	h.due(began, false, 0.5)
	if h.due(began.Add(time.Minute), false, 0.5) || h.due(began.Add(time.Minute), true, 0.5) {
		t.Error("switches at once after the stream was that of the home controller")
	}
}

// TestDirectoryComesFromTheHomeAlone starts n and 2n gateways at the same moment with one seed each. Each
// receives one whole directory, and the seed sends it only to the gateways whose home controller it is. A
// gateway whose home controller is down receives it from the seed.
func TestDirectoryComesFromTheHomeAlone(t *testing.T) {
	const down = "127.0.0.1:1"
	for _, gateways := range []int{6, 12} {
		seed, other := startStub(t), startStub(t)
		seed.controllers = []string{seed.address, other.address}
		other.controllers = seed.controllers
		var atSeed int64
		for number := range gateways {
			s := newSubscription(testClock, config.DefaultGateway(), discardLog(), nil, &link.Meter{})
			s.settings.Name, s.settings.Address = fmt.Sprintf("gateway-%d", number), fmt.Sprintf("127.0.0.1:%d", 10000+number)
			seedOnly := seed.address
			s.settings.Seeds, s.settings.ControllerPort = []string{seedOnly}, portOf(t, seedOnly)
			if s.home(seed.controllers) == seed.address {
				atSeed++
			}
			runInBackground(t, s.run)
			eventually(t, "the directory came", func() bool { return s.current() != nil && s.confirmed() })
		}
		if sent := seed.wholeDirectories.Load(); sent != atSeed || other.wholeDirectories.Load() != int64(gateways)-atSeed {
			t.Errorf("%d gateways: the seed sent %d directories, the other controller %d; the seed is the home controller of %d", gateways, sent, other.wholeDirectories.Load(), atSeed)
		}
	}
	seed := startStub(t)
	seed.controllers = []string{down}
	s := newSubscription(testClock, config.DefaultGateway(), discardLog(), nil, &link.Meter{})
	s.settings.Name, s.settings.Address = "g", "127.0.0.1:10000"
	s.settings.Seeds, s.settings.ControllerPort = []string{seed.address}, portOf(t, seed.address)
	runInBackground(t, s.run)
	eventually(t, "the directory came from the seed", func() bool { return s.current() != nil && s.confirmed() })
}

func portOf(t *testing.T, address string) int {
	t.Helper()
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		t.Fatal(err)
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		t.Fatal(err)
	}
	return number
}
