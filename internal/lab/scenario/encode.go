package scenario

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/lab/backend"
)

func encode(misbehaviour backend.Fault) ([]byte, error) {
	encoded, err := json.Marshal(misbehaviour)
	return encoded, eris.Wrap(err, "encode the fault of a back end")
}
