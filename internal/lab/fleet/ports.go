package fleet

import (
	"net"

	"github.com/rotisserie/eris"
)

// freeAddresses returns loopback addresses whose ports the kernel chose. All are
// held open until every one is known, so that none is given twice.
func freeAddresses(count int) ([]string, error) {
	addresses := make([]string, 0, count)
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, eris.Wrap(err, "ask the kernel for a port")
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}
