//go:build cgo

#include <signal.h>

// Ignores SIGHUP before the Go runtime starts: the default action would end the process in the
// 18 ms that the packages of the program take to initialise. The runtime keeps an ignored
// SIGHUP ignored until signal.Notify asks for it.
__attribute__((constructor)) static void ignore_hangup(void) {
	signal(SIGHUP, SIG_IGN);
}
