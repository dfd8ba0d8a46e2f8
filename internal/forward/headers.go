package forward

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = [...]string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// HopHeaders returns the names of the headers that concern one connection only.
func HopHeaders() [len(hopHeaders)]string { return hopHeaders }
