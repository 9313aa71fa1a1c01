package run

/*
#include <signal.h>

// A SIGHUP that arrives before Go has installed a handler would terminate the
// process, which is the signal's default action. This constructor runs when the
// program is loaded and ignores the signal until notifyHangups handles it.
__attribute__((constructor)) static void ignore_hangup(void) {
	signal(SIGHUP, SIG_IGN);
}
*/
import "C"
