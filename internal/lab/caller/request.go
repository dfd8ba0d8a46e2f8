package caller

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// request is one logical request; each of its attempts is the same on the wire
// but for the identifier of the attempt.
type request struct {
	load           Load
	id             string
	method         string
	path           string
	key            string
	idempotencyKey string
	payload        string
	// random draws the decisions about resends.
	random *rand.Rand
}

func (r *request) repeatable() bool {
	return r.method == fasthttp.MethodGet
}

// stream draws the requests of one load.
type stream struct {
	load   Load
	seed   uint64
	random *rand.Rand
	zipf   *rand.Zipf
	drawn  uint64
}

func newStream(load Load, seed, number uint64) *stream {
	random := rand.New(rand.NewPCG(seed, number))
	return &stream{
		load:   load,
		seed:   random.Uint64(),
		random: random,
		zipf:   rand.NewZipf(random, load.Skew, 1, uint64(load.Keys-1)),
	}
}

// pause returns the time to the next request: exponential, so that requests
// arrive as from many independent callers.
func (s *stream) pause() time.Duration {
	return time.Duration(s.random.ExpFloat64() / s.load.Rate * float64(time.Second))
}

// next draws a request. Everything but its identifiers follows from the seed.
func (s *stream) next() (*request, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return nil, eris.Wrap(err, "draw request identifier")
	}
	s.drawn++
	drawn := &request{load: s.load, id: id.String(), random: rand.New(rand.NewPCG(s.seed, s.drawn))}
	if s.load.Keyed {
		drawn.key = s.load.KeyPrefix + strconv.FormatUint(s.zipf.Uint64(), 10)
	}
	if s.random.Float64() < s.load.Reads {
		drawn.method = fasthttp.MethodGet
		drawn.path = "/read/" + drawn.id
		return drawn, nil
	}
	drawn.method = fasthttp.MethodPost
	drawn.path = "/change/" + drawn.id
	drawn.idempotencyKey = drawn.id
	drawn.payload = "change " + drawn.id + " of " + drawn.key
	return drawn, nil
}
