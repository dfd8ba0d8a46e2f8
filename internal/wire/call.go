package wire

import (
	"context"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/thorntiller/thorntiller/internal/codec"
)

// callFrame carries a request or its answer; both carry the same call number.
type callFrame struct {
	Number  uint64
	Content msgpack.RawMessage
}

// ServeCalls answers requests of type Q with answers of type A until the
// connection ends, which a panic of a handler makes it do. At most limit calls run at a time; further requests stay
// unread in the connection. It returns once every handler has returned. The
// context passed to the handlers is cancelled when the connection ends.
func ServeCalls[Q, A any](ctx context.Context, connection *Conn, limit int, handle func(context.Context, *Q) *A) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var running conc.WaitGroup
	defer running.Wait()
	defer cancel()
	slots := make(chan struct{}, limit)
	for {
		var frame callFrame
		if err := connection.Receive(&frame); err != nil {
			return err
		}
		request := new(Q)
		if err := codec.Unmarshal(frame.Content, request); err != nil {
			return eris.Wrapf(err, "decode %T", request)
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
		running.Go(func() {
			defer func() { <-slots }()
			recovered := panics.Try(func() {
				// A failed send closes the connection, which ends the loop above.
				_ = sendCall(ctx, connection, frame.Number, handle(ctx, request))
			})
			if recovered != nil {
				connection.Close()
				panic(recovered.AsError())
			}
		})
	}
}

func sendCall(ctx context.Context, connection *Conn, number uint64, content any) error {
	encoded, err := codec.Marshal(content)
	if err != nil {
		return newCallError(ErrNotSent, eris.Wrapf(err, "encode %T", content))
	}
	return connection.Send(ctx, &callFrame{Number: number, Content: encoded})
}
