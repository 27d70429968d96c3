/*
 * daemon.h - the daemon: reads settings, starts the cores and their I/O,
 * connects them, and ends gracefully.
 */
#ifndef DK_DAEMON_H
#define DK_DAEMON_H

#ifdef __cplusplus
extern "C" {
#endif

/*
 * "damasklug serve --config FILE". Exit code: 0 after a graceful end, 1 where
 * it could not start or had to cut requests, 2 for wrong usage or settings.
 */
int serve_main(int argc, char **argv);

#ifdef __cplusplus
}
#endif
#endif
