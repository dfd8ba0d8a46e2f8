package forward

// hopHeaders are the hop-by-hop headers, which apply to one connection and are not
// forwarded.
var hopHeaders = [...]string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// HopHeaders returns the names of the hop-by-hop headers.
func HopHeaders() [len(hopHeaders)]string { return hopHeaders }
