/*
 * daemon.h - the daemon: reads the settings, starts the state and serving cores
 * with their I/O, and shuts down gracefully.
 */
#ifndef DK_DAEMON_H
#define DK_DAEMON_H

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Runs "damasklug serve --config FILE". Returns the exit code: 0 after a
 * graceful shutdown, 1 if the daemon could not start or had to break off
 * requests, 2 for wrong usage or settings.
 */
int serve_main(int argc, char **argv);

#ifdef __cplusplus
}
#endif
#endif
