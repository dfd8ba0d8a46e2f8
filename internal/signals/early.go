package signals

/*
#include <signal.h>

// Runs when the program is loaded. The Go runtime takes some milliseconds longer until Go code can handle signals, and
// keeps a signal ignored that it finds ignored.
__attribute__((constructor)) static void ignore_hang_up(void)
{
	signal(SIGHUP, SIG_IGN);
}
*/
import "C"
