package intake

import "bytes"

// headEnd finds the empty line that ends the head of a request, whose bytes arrive in any number of parts. It accepts lines
// that end with LF alone, as the parser does. The zero value is for the first byte of a head.
type headEnd struct {
	// begun is true behind the first line with content: empty lines before it belong to the head.
	begun bool
	// content is true if the current line has a byte other than CR.
	content bool
}

// find looks at the next bytes. It returns how many of them belong to the head if they include its end, or -1.
func (e *headEnd) find(data []byte) int {
	for used := 0; ; {
		length := bytes.IndexByte(data[used:], '\n')
		if length < 0 {
			e.add(data[used:])
			return -1
		}
		e.add(data[used : used+length])
		used += length + 1
		if e.begun && !e.content {
			return used
		}
		e.begun = e.begun || e.content
		e.content = false
	}
}

// add looks at a part of the current line.
func (e *headEnd) add(part []byte) {
	for index := 0; index < len(part) && !e.content; index++ {
		e.content = part[index] != '\r'
	}
}
