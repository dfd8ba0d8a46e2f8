package sim

import (
	"fmt"
	"io"
)

// trace writes one line with the true time, if the run is traced.
func (s *simulation) trace(format string, arguments ...any) {
	if s.traceTo == nil {
		return
	}
	writeLine(s.traceTo, s.queue.Now().Microseconds(), fmt.Sprintf(format, arguments...))
}

func writeLine(output io.Writer, microseconds int64, text string) {
	// The trace is for people; a failed write shows as a short trace.
	_, _ = fmt.Fprintf(output, "%9.3f ms  %s\n", float64(microseconds)/1000, text)
}
