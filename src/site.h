/*
 * site.h - the daemon on a platform that provides its settings. It starts a
 * new system or joins the running one by itself, proxies callers' requests,
 * and serves the address directory and the operators' control calls.
 */
#ifndef DK_SITE_H
#define DK_SITE_H

#ifdef __cplusplus
extern "C" {
#endif

/* Environment variable with the path of the platform's settings file. */
#define SITE_SETTINGS_VARIABLE "DAMASKLUG_CONFIG"

/*
 * "damasklug site [--settings FILE]". Exit code: 0 after a graceful shutdown,
 * 1 if the daemon could not start, 2 for wrong usage or invalid settings.
 */
int site_main(int argc, char **argv);

#ifdef __cplusplus
}
#endif
#endif
