package answerhead

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/valyala/fasthttp"
)

// headWithFields returns the head of an answer with some ordinary fields beside its length.
func headWithFields(count int) string {
	var head strings.Builder
	head.WriteString("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n")
	for number := range count - 1 {
		fmt.Fprintf(&head, "X-Field-Number-%d: value %d of some length\r\n", number, number)
	}
	return head.String() + "\r\n"
}

// BenchmarkReadFinal measures what reading a head costs, if it arrives whole or byte by byte.
func BenchmarkReadFinal(b *testing.B) {
	for _, fields := range []int{5, 20, 40} {
		head := headWithFields(fields)
		for name, wrap := range map[string]func(io.Reader) io.Reader{
			"whole": func(reader io.Reader) io.Reader { return reader }, "byte by byte": iotest.OneByteReader,
		} {
			b.Run(fmt.Sprintf("%d fields %s", fields, name), func(b *testing.B) {
				source := strings.NewReader(head)
				arriving := wrap(source)
				reader := bufio.NewReaderSize(arriving, 4096)
				var header fasthttp.ResponseHeader
				b.ReportAllocs()
				for b.Loop() {
					source.Reset(head)
					reader.Reset(arriving)
					if err := ReadFinal(reader, &header); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}
